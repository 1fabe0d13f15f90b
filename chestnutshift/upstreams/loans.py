"""Loans of slots between the VMs of one failure domain.

For the borrower a loan starts when it sends its request; for the lender it
starts with the grant and lasts longer. So they never use a slot at the same
time, however late a message arrives. A slot is returned by a message or, if
that is lost, once every request that the borrower may have started is over.
"""

import math
from collections.abc import Iterable

import attrs

from chestnutshift.conf import defaults

LOAN_MARGIN_S = 1.0
IDLE_RETURN_S = 0.25


@attrs.frozen
class LoanTerms:
    """The terms of a loan, in seconds.

    Requests may start in a lent slot for start_s and run for run_s each;
    margin_s covers the drift of two clocks over the term.
    """

    start_s: float = defaults.LOAN_S
    run_s: float = defaults.REQUEST_DEADLINE_S
    margin_s: float = LOAN_MARGIN_S

    @property
    def hold_s(self) -> float:
        """Seconds until the lender reuses a slot that was not returned."""
        return self.start_s + self.run_s + self.margin_s


@attrs.frozen
class LentSlot:
    """A slot of an upstream, with the lender's number for its loan."""

    number: int
    upstream: str


@attrs.frozen
class SlotRequest:
    """A borrower's request for slots of a service's upstreams."""

    borrower: str
    number: int
    service: str
    wanted: int


@attrs.frozen
class SlotGrant:
    """The slots that a lender grants in reply to one request."""

    lender: str
    incarnation: int
    request: int
    slots: tuple[LentSlot, ...]


@attrs.frozen
class SlotReturn:
    """A borrower's return of lent slots."""

    borrower: str
    incarnation: int
    numbers: tuple[int, ...]


@attrs.frozen
class HoldingsRequest:
    """A restarted VM's query for what its earlier incarnations have lent."""

    lender: str
    incarnation: int


@attrs.frozen
class Holdings:
    """The slots that a VM still holds from a lender's earlier incarnations.

    upstreams names the upstream of each such slot.
    """

    borrower: str
    position: int
    incarnation: int
    upstreams: tuple[str, ...]


Message = SlotRequest | SlotGrant | SlotReturn | HoldingsRequest | Holdings


@attrs.frozen
class Outgoing:
    """A message and the VM that it is to be sent to."""

    recipient: str
    message: Message


@attrs.define
class _Lent:
    upstream: str
    held_until: float


class Lender:
    """The slots that this VM has lent and must not use itself."""

    def __init__(self, terms: LoanTerms, incarnation: int) -> None:
        """Start without loans; returns must name this incarnation."""
        self._terms = terms
        self._incarnation = incarnation
        self._lent: dict[int, _Lent] = {}
        self._counts: dict[str, int] = {}
        self._next_number = 1
        self._next_expiry_at = math.inf

    def lent_slots(self, upstream: str, now: float) -> int:
        """Count the slots of the upstream that are lent now."""
        if now >= self._next_expiry_at:
            self._expire(now)
        return self._counts.get(upstream, 0)

    def lend(self, upstream: str, now: float) -> LentSlot:
        """Lend one slot of the upstream."""
        number = self._next_number
        self._next_number += 1
        held_until = now + self._terms.hold_s
        self._lent[number] = _Lent(upstream, held_until)
        self._counts[upstream] = self._counts.get(upstream, 0) + 1
        self._next_expiry_at = min(self._next_expiry_at, held_until)
        return LentSlot(number, upstream)

    def accept_return(self, message: SlotReturn) -> int:
        """End the loans of returned slots and return how many there were."""
        if message.incarnation != self._incarnation:
            return 0
        known = [number for number in message.numbers if number in self._lent]
        for number in known:
            self._remove(number)
        return len(known)

    def restore(self, upstreams: Iterable[str], now: float) -> None:
        """Count slots as lent that an earlier incarnation lent."""
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
        self._next_expiry_at = min(
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
        """Return whether a request may start in the slot now."""
        return not self.busy and now < self.start_by

    def is_returnable(self, now: float) -> bool:
        """Return whether the slot should be returned to its lender."""
        if self.busy:
            return False
        return now >= self.start_by or now - self.idle_since >= IDLE_RETURN_S


@attrs.frozen
class _PendingRequest:
    request: SlotRequest
    lender: str
    sent_at: float


class Borrower:
    """The slots that other VMs lent to this one."""

    def __init__(self, vm: str, terms: LoanTerms) -> None:
        """Start without loans; requests name the VM as the borrower."""
        self._vm = vm
        self._terms = terms
        self._pending: dict[int, _PendingRequest] = {}
        self._loans: dict[str, list[Loan]] = {}
        self._incarnations: dict[str, int] = {}
        self._next_number = 1

    def usable_slots(self, upstream: str, now: float) -> int:
        """Count the borrowed slots that are busy or may start a request."""
        return sum(
            1
            for loan in self._loans.get(upstream, ())
            if loan.busy or now < loan.start_by
        )

    def busy_slots(self, upstream: str) -> int:
        """Count the borrowed slots in which a request runs."""
        return sum(loan.busy for loan in self._loans.get(upstream, ()))

    def find_free(self, upstream: str, now: float) -> Loan | None:
        """Return a borrowed slot in which a request may start now."""
        for loan in self._loans.get(upstream, ()):
            if loan.may_start(now):
                return loan
        return None

    def request_slots(
        self,
        service: str,
        wanted: int,
        lender: str,
        now: float,
    ) -> Outgoing | None:
        """Return a request for slots, or None while one is pending."""
        for number, pending in tuple(self._pending.items()):
            if now >= pending.sent_at + self._terms.start_s:
                self._pending.pop(number)
            elif (pending.request.service, pending.lender) == (service, lender):
                return None
        request = SlotRequest(self._vm, self._next_number, service, wanted)
        self._next_number += 1
        self._pending[request.number] = _PendingRequest(request, lender, now)
        return Outgoing(lender, request)

    def accept(self, grant: SlotGrant, now: float) -> int:
        """Accept a grant and return how many slots it adds.

        A grant without a pending request, a repeated one and one of a lender
        process that has been replaced add nothing.
        """
        pending = self._pending.pop(grant.request, None)
        if pending is None or pending.lender != grant.lender:
            return 0
        if grant.incarnation < self._incarnations.get(grant.lender, 0):
            return 0
        start_by = pending.sent_at + self._terms.start_s
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
        """Start no more requests in the slots of a lender that needs them."""
        for loans in self._loans.values():
            for loan in loans:
                if loan.lender == lender:
                    loan.start_by = min(loan.start_by, now)

    def report_holdings(self, request: HoldingsRequest) -> tuple[str, ...]:
        """Return the upstreams of slots that a lender lent before a restart.

        Grants of its earlier incarnations are ignored from now on.
        """
        self._incarnations[request.lender] = request.incarnation
        return tuple(
            loan.upstream
            for loans in self._loans.values()
            for loan in loans
            if loan.lender == request.lender
            and loan.incarnation < request.incarnation
        )

    def collect_returns(self, now: float) -> list[Outgoing]:
        """Remove expired and idle loans; return the messages that end them."""
        returned: dict[tuple[str, int], list[int]] = {}
        for upstream, loans in self._loans.items():
            ended = [loan for loan in loans if loan.is_returnable(now)]
            if not ended:
                continue
            self._loans[upstream] = [
                loan for loan in loans if loan not in ended
            ]
            for loan in ended:
                returned.setdefault(
                    (loan.lender, loan.incarnation),
                    [],
                ).append(loan.number)
        return [
            Outgoing(lender, SlotReturn(self._vm, incarnation, tuple(numbers)))
            for (lender, incarnation), numbers in returned.items()
        ]
