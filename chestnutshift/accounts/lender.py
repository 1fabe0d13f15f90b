"""The giver's side of loans: what is lent, renewed and taken back."""

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

# Less than this part of the seat's own rate or burst is not lent.
LEAST_PART = 0.1

# Takers whose newest request is remembered.
KNOWN_TAKERS = 4096


@attrs.frozen
class _Amounts:
    rate: float = 0
    burst: float = 0
    tokens: float = 0


@attrs.define
class Lender:
    """Answer requests for loans on behalf of one VM incarnation."""

    _vm: str
    _numbers: Iterator[int] = attrs.field(
        factory=lambda: itertools.count(NEW_LOAN + 1),
    )
    _newest_asks: dict[str, int] = attrs.field(factory=dict)

    def answer(
        self,
        request: LoanRequest,
        share: AccountShare,
        targets: Targets,
        life_s: float,
        now: float,
    ) -> LoanGrant | None:
        """Lend, renew or take back; None where there is nothing to say."""
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
        if self._is_repeated(request):
            return None
        expires = now + life_s + LOAN_MARGIN_S
        amounts = _Amounts()
        if life_s > 0 and share.right.covers(expires):
            amounts = self._spare(request, share, targets, now)
        if amounts.rate <= EPSILON and amounts.burst <= EPSILON:
            return self._grant(request, NEW_LOAN, _Amounts(), life_s)
        number = next(self._numbers)
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

    def _spare(
        self,
        request: LoanRequest,
        share: AccountShare,
        targets: Targets,
        now: float,
    ) -> _Amounts:
        own_rate, own_burst = share.own_part(now)
        spare_rate = share.bucket.rate - targets.held_rate
        rate = _within(request.rate, own_rate, spare_rate)
        # Both sides end up with the same part of their stocks.
        level = share.bucket.level
        stocks = targets.high + request.burst
        fair = (level + request.tokens) * targets.high / max(stocks, EPSILON)
        tokens = _within(
            request.burst - request.tokens, level - fair, own_burst
        )
        if rate < share.base_rate * LEAST_PART:
            rate = 0
        if tokens < share.base_burst * LEAST_PART:
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
        if lent.taker != request.taker or request.ask <= lent.ask:
            return None
        lent = self._take_back(request, lent, share, now)
        if request.loan not in share.lent:
            return None
        if life_s <= 0 or not share.right.covers(now + life_s + LOAN_MARGIN_S):
            return None
        allowed = _Amounts(
            max(0, lent.rate - max(0, targets.held_rate - share.bucket.rate)),
            max(0, lent.burst - max(0, targets.low - share.bucket.capacity)),
        )
        if _is_less(allowed, lent):
            # The taker gives up the rest first; only then is it free here.
            return self._grant(request, request.loan, allowed, 0)
        share.lent[request.loan] = attrs.evolve(
            lent,
            expires=max(lent.expires, now + life_s + LOAN_MARGIN_S),
        )
        share.resize(now)
        kept = _Amounts(lent.rate, lent.burst)
        return self._grant(request, request.loan, kept, life_s)

    def _take_back(
        self,
        request: LoanRequest,
        lent: LentLoan,
        share: AccountShare,
        now: float,
    ) -> LentLoan:
        kept = attrs.evolve(
            lent,
            ask=request.ask,
            rate=min(lent.rate, request.rate),
            burst=min(lent.burst, request.burst),
        )
        share.lent[request.loan] = kept
        if kept.rate <= EPSILON and kept.burst <= EPSILON:
            share.lent.pop(request.loan)
        share.resize(now)
        share.bucket.add(_within(request.tokens, lent.burst - kept.burst))
        return kept

    def _is_repeated(self, request: LoanRequest) -> bool:
        newest = self._newest_asks.pop(request.taker, 0)
        self._newest_asks[request.taker] = max(newest, request.ask)
        if len(self._newest_asks) > KNOWN_TAKERS:
            self._newest_asks.pop(next(iter(self._newest_asks)))
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


def _within(asked: float, *bounds: float) -> float:
    return max(0, min(asked, *bounds))


def _is_less(allowed: _Amounts, lent: LentLoan) -> bool:
    least = 1 - LEAST_PART
    return (
        allowed.rate < lent.rate * least or allowed.burst < lent.burst * least
    )


def _verify_lent(share: AccountShare) -> None:
    # A smaller limit may come into force while loans out of the larger one
    # run; then the seat itself has nothing left.
    rate, burst = share.own_part(share.bucket.updated)
    verify(
        ACCOUNT_RATE,
        holds=rate <= EPSILON
        or rate + share.lent_rate <= share.base_rate + EPSILON,
        detail='more rate was lent than the seat has',
    )
    verify(
        ACCOUNT_RATE,
        holds=burst <= EPSILON
        or burst + share.lent_burst <= share.base_burst + EPSILON,
        detail='more burst was lent than the seat has',
    )
