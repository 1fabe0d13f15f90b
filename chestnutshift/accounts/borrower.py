"""The borrower's side of loans: whom to ask, when and for how much."""

import math
import random
from collections.abc import Iterator

import attrs

from chestnutshift.accounts.bucket import EPSILON
from chestnutshift.accounts.loans import (
    NEW_LOAN,
    BorrowedLoan,
    LoanGrant,
    LoanRequest,
    Peer,
    PendingRequest,
)
from chestnutshift.accounts.share import AccountShare
from chestnutshift.accounts.targets import Targets

# An unanswered request no longer counts as pending after this time.
REQUEST_TIMEOUT_S = 0.25

# Exponential backoff for a peer that had nothing to lend.
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 0.4

# After a refusal, peers are assumed to have nothing to lend for this long,
# unless a loan is granted in the meantime.
PEERS_EMPTY_S = 2.0

# A loan is renewed once this fraction of its lifetime has passed.
RENEW_AFTER_FRACTION = 0.5

# Unneeded rate is returned early above this fraction of the total rate.
SURPLUS_FRACTION = 0.25

# Missing rate below this fraction of the seat's share is not requested.
RATE_STEP_FRACTION = 0.1

# Tokens that one peer is expected to lend, as a fraction of a seat's burst.
EXPECTED_BURST_FRACTION = 0.25

# Surplus rate is not returned before a loan is this old.
LOAN_KEEP_MIN_S = 0.3


@attrs.define
class Borrower:
    """Plans and receives the loans of one account at one VM incarnation."""

    _vm: str
    _account: str
    _rng: random.Random
    _pending: dict[int, PendingRequest] = attrs.field(factory=dict)
    _backoffs_s: dict[str, float] = attrs.field(factory=dict)
    _backoff_until: dict[str, float] = attrs.field(factory=dict)
    _refused_at: float = -math.inf

    def is_loan_likely(self, now: float) -> bool:
        """Return whether peers are likely to lend to this VM.

        They are, unless the newest answer is a refusal within PEERS_EMPTY_S.
        """
        return now - self._refused_at > PEERS_EMPTY_S

    def plan(
        self,
        share: AccountShare,
        targets: Targets,
        peers: tuple[Peer, ...],
        life_s: float,
        request_numbers: Iterator[int],
        now: float,
    ) -> list[LoanRequest]:
        """Return the requests to send now: renewals, then new loans.

        A renewal may reduce its loan at once. The caller must have refreshed
        the share.
        """
        self._drop_old_requests(now, life_s)
        requests = self._renew_loans(
            share, targets, life_s, request_numbers, now
        )
        requests.extend(
            self._request_loans(share, targets, peers, request_numbers, now)
        )
        return requests

    def receive(
        self,
        peer: str,
        grant: LoanGrant,
        share: AccountShare,
        now: float,
    ) -> bool:
        """Apply a grant; return False if it is stale or empty."""
        request = self._pending.pop(grant.ask, None)
        if request is None or request.peer != peer:
            return False
        share.refresh(now)
        expires = request.sent_at + grant.life_s
        if request.loan != NEW_LOAN:
            return self._extend_loan(grant, share, expires, now)
        if expires <= now:
            return False
        if grant.loan == NEW_LOAN:
            self._record_refusal(peer, now)
            return False
        self._backoffs_s.pop(peer, None)
        self._refused_at = -math.inf
        share.borrowed[grant.giver, grant.loan] = BorrowedLoan(
            peer,
            grant.giver,
            grant.loan,
            grant.rate,
            grant.burst,
            now,
            expires,
        )
        share.resize(now)
        share.bucket.add(min(grant.tokens, grant.burst))
        return True

    def _extend_loan(
        self,
        grant: LoanGrant,
        share: AccountShare,
        expires: float,
        now: float,
    ) -> bool:
        key = (grant.giver, grant.loan)
        loan = share.borrowed.get(key)
        if loan is None:
            return False
        if grant.life_s <= 0:
            share.borrowed[key] = attrs.evolve(
                loan,
                allowed_rate=grant.rate,
                allowed_burst=grant.burst,
            )
            return True
        share.borrowed[key] = attrs.evolve(
            loan,
            expires=max(loan.expires, expires),
        )
        share.resize(now)
        return True

    def _record_refusal(self, peer: str, now: float) -> None:
        self._refused_at = now
        delay_s = self._backoffs_s.get(peer, BACKOFF_FIRST_S)
        self._backoffs_s[peer] = min(BACKOFF_MAX_S, delay_s * 2)
        self._backoff_until[peer] = now + delay_s * (0.5 + self._rng.random())

    def _drop_old_requests(self, now: float, life_s: float) -> None:
        if not self._pending:
            return
        self._pending = {
            number: request
            for number, request in self._pending.items()
            if now - request.sent_at < life_s
        }

    def _renew_loans(
        self,
        share: AccountShare,
        targets: Targets,
        life_s: float,
        request_numbers: Iterator[int],
        now: float,
    ) -> list[LoanRequest]:
        if not share.borrowed:
            return []
        pending = {
            (request.peer, request.loan)
            for request in self._pending.values()
            if now - request.sent_at < REQUEST_TIMEOUT_S
        }
        requests = []
        for key, loan in sorted(share.borrowed.items()):
            if (loan.peer, loan.loan) in pending:
                continue
            due = loan.expires - now < life_s * (1 - RENEW_AFTER_FRACTION)
            if due or _is_surplus(loan, share, targets, now):
                requests.append(
                    self._renew_loan(
                        key, share, targets, next(request_numbers), now
                    ),
                )
        return requests

    def _renew_loan(
        self,
        key: tuple[str, int],
        share: AccountShare,
        targets: Targets,
        number: int,
        now: float,
    ) -> LoanRequest:
        loan = share.borrowed[key]
        spare_rate = max(0, share.bucket.rate - targets.retained_rate)
        spare_burst = max(0, share.bucket.capacity - targets.high)
        kept = attrs.evolve(
            loan,
            rate=max(0, min(loan.rate - spare_rate, loan.allowed_rate)),
            burst=max(0, min(loan.burst - spare_burst, loan.allowed_burst)),
        )
        level = share.bucket.level
        share.borrowed[key] = kept
        if kept.rate <= EPSILON and kept.burst <= EPSILON:
            share.borrowed.pop(key)
        share.resize(now)
        self._pending[number] = PendingRequest(
            loan.peer,
            self._account,
            loan.loan,
            0,
            0,
            now,
        )
        return LoanRequest(
            peer=loan.peer,
            giver=loan.lender,
            taker=self._vm,
            account=self._account,
            ask=number,
            loan=loan.loan,
            rate=kept.rate,
            burst=kept.burst,
            tokens=level - share.bucket.level,
        )

    def _request_loans(
        self,
        share: AccountShare,
        targets: Targets,
        peers: tuple[Peer, ...],
        request_numbers: Iterator[int],
        now: float,
    ) -> list[LoanRequest]:
        pending = [
            request
            for request in self._pending.values()
            if request.loan == NEW_LOAN
            and now - request.sent_at < REQUEST_TIMEOUT_S
        ]
        rate = targets.wanted_rate - share.bucket.rate
        rate -= sum(request.rate for request in pending)
        if rate <= share.base_rate * RATE_STEP_FRACTION:
            rate = 0
        tokens = 0
        if share.bucket.level < targets.low:
            tokens = targets.high - share.bucket.level
            tokens -= sum(request.tokens for request in pending)
        if rate <= 0 and tokens <= 0:
            return []
        pending_peers = {request.peer for request in pending}
        requests = []
        for peer in self._rank_peers(peers, pending_peers, now):
            if rate <= EPSILON and tokens <= EPSILON:
                break
            requested_rate = min(max(0, rate), share.base_rate)
            expected = min(
                max(0, tokens), share.base_burst * EXPECTED_BURST_FRACTION
            )
            request = PendingRequest(
                peer.name,
                self._account,
                NEW_LOAN,
                requested_rate,
                expected,
                now,
            )
            requests.append(
                self._new_loan_request(
                    request, share, targets, next(request_numbers)
                )
            )
            rate -= requested_rate
            tokens -= expected
        return requests

    def _rank_peers(
        self,
        peers: tuple[Peer, ...],
        pending_peers: set[str],
        now: float,
    ) -> list[Peer]:
        available = [
            peer
            for peer in peers
            if peer.name not in pending_peers
            and self._backoff_until.get(peer.name, now) <= now
        ]
        self._rng.shuffle(available)
        return sorted(available, key=lambda peer: not peer.near)

    def _new_loan_request(
        self,
        request: PendingRequest,
        share: AccountShare,
        targets: Targets,
        number: int,
    ) -> LoanRequest:
        self._pending[number] = request
        return LoanRequest(
            peer=request.peer,
            giver='',
            taker=self._vm,
            account=self._account,
            ask=number,
            loan=NEW_LOAN,
            rate=request.rate,
            burst=targets.high,
            tokens=share.bucket.level,
        )


def _is_surplus(
    loan: BorrowedLoan,
    share: AccountShare,
    targets: Targets,
    now: float,
) -> bool:
    if loan.rate > loan.allowed_rate or loan.burst > loan.allowed_burst:
        return True
    if loan.burst > EPSILON:
        remaining_burst = share.bucket.capacity - loan.burst
        if remaining_burst >= targets.high:
            return True
    spare_rate = share.bucket.rate - targets.retained_rate
    return (
        spare_rate
        > max(SURPLUS_FRACTION * share.bucket.rate, share.base_rate / 2)
        and now - loan.since > LOAN_KEEP_MIN_S
    )
