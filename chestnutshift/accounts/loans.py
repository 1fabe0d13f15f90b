"""Loans of rate, burst and tokens between VMs: messages and records.

A loan moves part of the share of one account from the lender (`giver` on
the wire) to the borrower (`taker`) for `life_s`. The lender reduces its own
share first. For the lender the loan ends `life_s` plus a margin after the
grant; for the borrower it ends `life_s` after the request. A lost message may
therefore lose tokens but never doubles them. Rates are in tokens per second.
"""

import math

import attrs

# How much longer a loan lasts for the lender than for the borrower.
LOAN_MARGIN_S = 0.1

# LoanRequest.loan of a request for a new loan; LoanGrant.loan of a refusal.
NEW_LOAN = 0


@attrs.frozen
class LoanRequest:
    """A request for a new loan, or to renew, reduce or return a loan.

    For a new loan, giver is empty, rate is the requested rate, tokens the
    borrower's level and burst its target level.
    For an existing loan, giver is the lender's incarnation, rate and burst
    are what the borrower keeps, and tokens what it returns.
    ask is the request number; it grows within one borrower incarnation.
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
    """The answer to a request: what is lent for life_s from the request on.

    All amounts are zero if the lender has nothing to lend. A renewal that is
    answered with a life_s of zero is not renewed: the borrower has to reduce
    the loan to these amounts and to request the renewal again.
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
    """The lender's record of a loan, with the newest request number."""

    borrower: str
    request_number: int
    rate: float
    burst: float
    expires: float


@attrs.frozen
class BorrowedLoan:
    """The borrower's record of a loan.

    allowed_rate and allowed_burst are the most that the lender will renew.
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
    """A request that was sent and not answered yet."""

    peer: str
    account: str
    loan: int
    rate: float
    tokens: float
    sent_at: float


@attrs.frozen
class Peer:
    """Another VM that may lend; near means in the same region."""

    name: str
    near: bool
