"""Loans of rate, burst and tokens between VMs: messages and records.

A loan moves part of the giver's share of one account to the taker for
`life_s`. The giver reduces its own share first, and counts the loan until
`life_s` plus a margin after the moment of the grant; the taker counts it
until `life_s` after the moment it asked. A lost message therefore loses
tokens and never doubles them. Rates are tokens per second.
"""

import math

import attrs

# Seconds by which the giver counts a loan longer than the taker does.
LOAN_MARGIN_S = 0.1

# Asks for a new loan, in LoanRequest.loan.
NEW_LOAN = 0


@attrs.frozen
class LoanRequest:
    """Ask a peer for a loan, or renew, reduce or hand back one.

    For a new loan giver is empty, rate is what is asked for, tokens what the
    taker has and burst the tokens that it aims at.
    For an existing loan giver is the incarnation that gave it, rate
    and burst are what the taker keeps, and tokens what it hands back.
    ask grows with each request of one taker incarnation.
    """

    peer: str
    giver: str
    taker: str
    account: str
    ask: int
    loan: int
    rate: float
    burst: float
    tokens: float


@attrs.frozen
class LoanGrant:
    """Answer to a request: what the taker may use for life_s since it asked.

    All amounts are zero where the giver has nothing to lend. An answer to a
    renewal with a life_s of zero renews nothing: the giver wants the taker to
    reduce the loan to these amounts, and to ask again.
    """

    giver: str
    taker: str
    account: str
    ask: int
    loan: int
    rate: float
    burst: float
    tokens: float
    life_s: float


@attrs.frozen
class LentLoan:
    """What the giver remembers of a loan; ask is the newest one it saw."""

    borrower: str
    request_number: int
    rate: float
    burst: float
    expires: float


@attrs.frozen
class BorrowedLoan:
    """What the taker remembers of a loan.

    allowed_rate and allowed_burst are what the giver is ready to renew.
    """

    peer: str
    lender: str
    loan: int
    rate: float
    burst: float
    since: float
    expires: float
    allowed_rate: float = math.inf
    allowed_burst: float = math.inf


@attrs.frozen
class PendingRequest:
    """A request that was sent and may still be answered."""

    peer: str
    account: str
    loan: int
    rate: float
    tokens: float
    sent_at: float


@attrs.frozen
class Peer:
    """Another VM that can be asked; near means in the same region."""

    name: str
    near: bool
