"""The lender's side of loans: what is lent, renewed and reclaimed."""

import itertools
from collections.abc import Iterator

import attrs

from chestnutshift.accounts.bucket import EPSILON
from chestnutshift.accounts.loans import (
    LOAN_MARGIN_S,
    NEW_LOAN,
    LentLoan,
    LoanGrant,
    LoanRequest,
)
from chestnutshift.accounts.share import AccountShare
from chestnutshift.accounts.targets import Targets
from chestnutshift.invariants.registry import ACCOUNT_RATE, verify

# Less than this fraction of the seat's own rate or burst is not lent.
LOAN_MIN_FRACTION = 0.1

# Borrowers whose newest request number is kept to detect duplicates.
TRACKED_BORROWERS_MAX = 4096


@attrs.frozen
class _Amounts:
    rate: float = 0
    burst: float = 0
    tokens: float = 0


@attrs.define
class Lender:
    """Answers the loan requests to one VM incarnation."""

    _vm: str
    _loan_numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(NEW_LOAN + 1),
    )
    _newest_requests: dict[str, int] = attrs.field(factory=dict)

    def answer(
        self,
        request: LoanRequest,
        share: AccountShare,
        targets: Targets,
        life_s: float,
        now: float,
    ) -> LoanGrant | None:
        """Lend, renew or reclaim; return the answer, None for no answer."""
        share.refresh(now)
        if request.loan == NEW_LOAN:
            return self._lend(request, share, targets, life_s, now)
        return self._renew(request, share, targets, life_s, now)

    def _lend(
        self,
        request: LoanRequest,
        share: AccountShare,
        targets: Targets,
        life_s: float,
        now: float,
    ) -> LoanGrant | None:
        if self._is_duplicate(request):
            return None
        expires = now + life_s + LOAN_MARGIN_S
        amounts = _Amounts()
        if life_s > 0 and share.lease.covers(expires):
            amounts = self._lendable(request, share, targets, now)
        if amounts.rate <= EPSILON and amounts.burst <= EPSILON:
            return self._grant(request, NEW_LOAN, _Amounts(), life_s)
        number = next(self._loan_numbers)
        share.lent[number] = LentLoan(
            request.taker,
            request.ask,
            amounts.rate,
            amounts.burst,
            expires,
        )
        share.bucket.level -= amounts.tokens
        share.resize(now)
        _verify_lent(share)
        return self._grant(request, number, amounts, life_s)

    def _lendable(
        self,
        request: LoanRequest,
        share: AccountShare,
        targets: Targets,
        now: float,
    ) -> _Amounts:
        unlent_rate, unlent_burst = share.unlent_part(now)
        spare_rate = share.bucket.rate - targets.retained_rate
        rate = _bounded(request.rate, unlent_rate, spare_rate)
        # Both sides end up with the same fraction of their target levels.
        level = share.bucket.level
        target_sum = targets.high + request.burst
        fair_level = (
            (level + request.tokens) * targets.high / max(target_sum, EPSILON)
        )
        tokens = _bounded(
            request.burst - request.tokens, level - fair_level, unlent_burst
        )
        if rate < share.base_rate * LOAN_MIN_FRACTION:
            rate = 0
        if tokens < share.base_burst * LOAN_MIN_FRACTION:
            tokens = 0
        return _Amounts(rate, tokens, tokens)

    def _renew(
        self,
        request: LoanRequest,
        share: AccountShare,
        targets: Targets,
        life_s: float,
        now: float,
    ) -> LoanGrant | None:
        lent = share.lent.get(request.loan)
        if lent is None or request.giver != self._vm:
            return None
        if lent.borrower != request.taker or request.ask <= lent.request_number:
            return None
        lent = self._reclaim(request, lent, share, now)
        if request.loan not in share.lent:
            return None
        if life_s <= 0 or not share.lease.covers(now + life_s + LOAN_MARGIN_S):
            return None
        allowed = _Amounts(
            max(
                0, lent.rate - max(0, targets.retained_rate - share.bucket.rate)
            ),
            max(0, lent.burst - max(0, targets.low - share.bucket.capacity)),
        )
        if _is_less(allowed, lent):
            # The borrower must return the rest before this VM may spend it.
            return self._grant(request, request.loan, allowed, 0)
        share.lent[request.loan] = attrs.evolve(
            lent,
            expires=max(lent.expires, now + life_s + LOAN_MARGIN_S),
        )
        share.resize(now)
        kept = _Amounts(lent.rate, lent.burst)
        return self._grant(request, request.loan, kept, life_s)

    def _reclaim(
        self,
        request: LoanRequest,
        lent: LentLoan,
        share: AccountShare,
        now: float,
    ) -> LentLoan:
        kept = attrs.evolve(
            lent,
            request_number=request.ask,
            rate=min(lent.rate, request.rate),
            burst=min(lent.burst, request.burst),
        )
        share.lent[request.loan] = kept
        if kept.rate <= EPSILON and kept.burst <= EPSILON:
            share.lent.pop(request.loan)
        share.resize(now)
        share.bucket.add(_bounded(request.tokens, lent.burst - kept.burst))
        return kept

    def _is_duplicate(self, request: LoanRequest) -> bool:
        newest = self._newest_requests.pop(request.taker, 0)
        self._newest_requests[request.taker] = max(newest, request.ask)
        if len(self._newest_requests) > TRACKED_BORROWERS_MAX:
            self._newest_requests.pop(next(iter(self._newest_requests)))
        return request.ask <= newest

    def _grant(
        self,
        request: LoanRequest,
        number: int,
        amounts: _Amounts,
        life_s: float,
    ) -> LoanGrant:
        return LoanGrant(
            giver=self._vm,
            taker=request.taker,
            account=request.account,
            ask=request.ask,
            loan=number,
            rate=amounts.rate,
            burst=amounts.burst,
            tokens=amounts.tokens,
            life_s=life_s,
        )


def _bounded(requested: float, *bounds: float) -> float:
    return max(0, min(requested, *bounds))


def _is_less(allowed: _Amounts, lent: LentLoan) -> bool:
    least = 1 - LOAN_MIN_FRACTION
    return (
        allowed.rate < lent.rate * least or allowed.burst < lent.burst * least
    )


def _verify_lent(share: AccountShare) -> None:
    # A smaller limit may be applied while loans from the larger one still
    # run; the seat's own unlent part is then zero.
    rate, burst = share.unlent_part(share.bucket.updated)
    verify(
        ACCOUNT_RATE,
        holds=rate <= EPSILON
        or rate + share.lent_rate <= share.base_rate + EPSILON,
        detail='lent rate exceeds the rate of the seat',
    )
    verify(
        ACCOUNT_RATE,
        holds=burst <= EPSILON
        or burst + share.lent_burst <= share.base_burst + EPSILON,
        detail='lent burst exceeds the burst of the seat',
    )
