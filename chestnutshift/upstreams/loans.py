"""Loans of slots between the VMs of one failure domain.

The borrower counts a loan from the moment it sent its request, the lender
from the moment it granted it and for longer, so that no delay of a message
lets both use one slot. A slot comes back by a message or, if that is lost,
when every request that the borrower can have started is over.
"""

import math
from collections.abc import Iterable

import attrs

from chestnutshift.conf import defaults

LOAN_MARGIN_S = 1.0
IDLE_RETURN_S = 0.25


@attrs.frozen
class LoanTerms:
    """Seconds in which a lent slot may start requests, and run them.

    margin_s covers the drift of two clocks over the term.
    """

    start_s: float = defaults.LOAN_S
    run_s: float = defaults.REQUEST_DEADLINE_S
    margin_s: float = LOAN_MARGIN_S

    @property
    def hold_s(self) -> float:
        """How long the lender keeps off a slot that nobody returned."""
        return self.start_s + self.run_s + self.margin_s


@attrs.frozen
class LentSlot:
    """One slot of an upstream under the lender's number for the loan."""

    number: int
    upstream: str


@attrs.frozen
class SlotRequest:
    """A borrower asks for slots of a service's upstreams."""

    borrower: str
    number: int
    service: str
    wanted: int


@attrs.frozen
class SlotGrant:
    """A lender grants slots in answer to one request."""

    lender: str
    incarnation: int
    request: int
    slots: tuple[LentSlot, ...]


@attrs.frozen
class SlotReturn:
    """A borrower gives lent slots back."""

    borrower: str
    incarnation: int
    numbers: tuple[int, ...]


@attrs.frozen
class HoldingsRequest:
    """A restarted VM asks what its earlier incarnations have lent."""

    lender: str
    incarnation: int


@attrs.frozen
class Holdings:
    """The upstreams whose slots a VM still holds from older incarnations."""

    borrower: str
    position: int
    incarnation: int
    upstreams: tuple[str, ...]


Message = SlotRequest | SlotGrant | SlotReturn | HoldingsRequest | Holdings


@attrs.frozen
class Outgoing:
    """A message and the VM that it goes to."""

    recipient: str
    message: Message


@attrs.define
class _Lent:
    upstream: str
    held_until: float


class Lender:
    """The slots that this VM has lent and must not use itself."""

    def __init__(self, terms: LoanTerms, incarnation: int) -> None:
        """Start with nothing lent under this incarnation."""
        self._terms = terms
        self._incarnation = incarnation
        self._lent: dict[int, _Lent] = {}
        self._counts: dict[str, int] = {}
        self._next = 1
        self._first_end = math.inf

    def lent(self, upstream: str, now: float) -> int:
        """Count the slots of the upstream that are lent now."""
        if now >= self._first_end:
            self._expire(now)
        return self._counts.get(upstream, 0)

    def lend(self, upstream: str, now: float) -> LentSlot:
        """Lend one slot of the upstream."""
        number = self._next
        self._next += 1
        held_until = now + self._terms.hold_s
        self._lent[number] = _Lent(upstream, held_until)
        self._counts[upstream] = self._counts.get(upstream, 0) + 1
        self._first_end = min(self._first_end, held_until)
        return LentSlot(number, upstream)

    def take_back(self, message: SlotReturn) -> int:
        """Take returned slots back and return how many were."""
        if message.incarnation != self._incarnation:
            return 0
        known = [number for number in message.numbers if number in self._lent]
        for number in known:
            self._remove(number)
        return len(known)

    def adopt(self, upstreams: Iterable[str], now: float) -> None:
        """Keep off the slots that an earlier incarnation lent."""
        for upstream in upstreams:
            self.lend(upstream, now)

    def _expire(self, now: float) -> None:
        ended = [
            number
            for number, lent in self._lent.items()
            if now >= lent.held_until
        ]
        for number in ended:
            self._remove(number)
        self._first_end = min(
            (lent.held_until for lent in self._lent.values()),
            default=math.inf,
        )

    def _remove(self, number: int) -> None:
        self._counts[self._lent.pop(number).upstream] -= 1


@attrs.define(eq=False)
class Loan:
    """One borrowed slot; a request may start in it until start_by."""

    lender: str
    incarnation: int
    number: int
    upstream: str
    start_by: float
    idle_since: float
    busy: bool = False

    def may_start(self, now: float) -> bool:
        """Tell whether a request may start in the slot now."""
        return not self.busy and now < self.start_by

    def is_over(self, now: float) -> bool:
        """Tell whether the slot should go back to its lender."""
        if self.busy:
            return False
        return now >= self.start_by or now - self.idle_since >= IDLE_RETURN_S


@attrs.frozen
class _Asked:
    request: SlotRequest
    lender: str
    sent_at: float


class Borrower:
    """The slots that other VMs lent to this one."""

    def __init__(self, vm: str, terms: LoanTerms) -> None:
        """Start with nothing borrowed by the named VM."""
        self._vm = vm
        self._terms = terms
        self._asked: dict[int, _Asked] = {}
        self._loans: dict[str, list[Loan]] = {}
        self._incarnations: dict[str, int] = {}
        self._next = 1

    def count(self, upstream: str, now: float) -> int:
        """Count the borrowed slots that are busy or may start a request."""
        return sum(
            1
            for loan in self._loans.get(upstream, ())
            if loan.busy or now < loan.start_by
        )

    def busy(self, upstream: str) -> int:
        """Count the borrowed slots in which a request runs."""
        return sum(loan.busy for loan in self._loans.get(upstream, ()))

    def find(self, upstream: str, now: float) -> Loan | None:
        """Return a borrowed slot in which a request may start now."""
        for loan in self._loans.get(upstream, ()):
            if loan.may_start(now):
                return loan
        return None

    def ask(
        self,
        service: str,
        wanted: int,
        lender: str,
        now: float,
    ) -> Outgoing | None:
        """Return a request for slots unless one is under way."""
        for number, asked in tuple(self._asked.items()):
            if now >= asked.sent_at + self._terms.start_s:
                self._asked.pop(number)
            elif (asked.request.service, asked.lender) == (service, lender):
                return None
        request = SlotRequest(self._vm, self._next, service, wanted)
        self._next += 1
        self._asked[request.number] = _Asked(request, lender, now)
        return Outgoing(lender, request)

    def accept(self, grant: SlotGrant, now: float) -> int:
        """Take a granted loan and return how many slots it brought.

        A grant that nobody waits for any more, a repeated one and one of a
        process that has been replaced bring nothing.
        """
        asked = self._asked.pop(grant.request, None)
        if asked is None or asked.lender != grant.lender:
            return 0
        if grant.incarnation < self._incarnations.get(grant.lender, 0):
            return 0
        start_by = asked.sent_at + self._terms.start_s
        for slot in grant.slots:
            loan = Loan(
                lender=grant.lender,
                incarnation=grant.incarnation,
                number=slot.number,
                upstream=slot.upstream,
                start_by=start_by,
                idle_since=now,
            )
            self._loans.setdefault(slot.upstream, []).append(loan)
        return len(grant.slots)

    def recall(self, lender: str, now: float) -> None:
        """Start nothing more in the slots of a lender that needs them."""
        for loans in self._loans.values():
            for loan in loans:
                if loan.lender == lender:
                    loan.start_by = min(loan.start_by, now)

    def holdings(self, question: HoldingsRequest) -> tuple[str, ...]:
        """Tell what a restarted lender lent; refuse its older grants now."""
        self._incarnations[question.lender] = question.incarnation
        return tuple(
            loan.upstream
            for loans in self._loans.values()
            for loan in loans
            if loan.lender == question.lender
            and loan.incarnation < question.incarnation
        )

    def returns(self, now: float) -> list[Outgoing]:
        """Give back the slots whose loans are over or that stand idle."""
        over: dict[tuple[str, int], list[int]] = {}
        for upstream, loans in self._loans.items():
            ended = [loan for loan in loans if loan.is_over(now)]
            if not ended:
                continue
            self._loans[upstream] = [
                loan for loan in loans if loan not in ended
            ]
            for loan in ended:
                over.setdefault(
                    (loan.lender, loan.incarnation),
                    [],
                ).append(loan.number)
        return [
            Outgoing(lender, SlotReturn(self._vm, incarnation, tuple(numbers)))
            for (lender, incarnation), numbers in over.items()
        ]
