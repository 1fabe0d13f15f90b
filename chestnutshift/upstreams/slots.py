"""The slots of a failure domain's upstreams that one VM may use now."""

from collections.abc import Iterable, Mapping

import attrs

from chestnutshift.conf import defaults
from chestnutshift.invariants.registry import REGION_LOAD, verify
from chestnutshift.regions.admission import may_start, may_wait
from chestnutshift.upstreams.division import (
    Division,
    Seat,
    UpstreamShare,
    UpstreamSlots,
    reserved_slots,
)
from chestnutshift.upstreams.loans import (
    Borrower,
    Holdings,
    Lender,
    Loan,
    LoanTerms,
)
from chestnutshift.upstreams.model import Candidate


@attrs.frozen(eq=False)
class SlotLease:
    """The right to send one request to an upstream.

    In a borrowed slot it expires at the loan's start_by.
    """

    share: UpstreamShare
    loan: Loan | None = None

    @property
    def upstream(self) -> str:
        """The name of the upstream."""
        return self.share.upstream.name

    def may_start(self, now: float) -> bool:
        """Return whether the request may still be sent; check just before."""
        return self.loan is None or now < self.loan.start_by


class SlotTable:
    """The slots that one VM may use now, owned and borrowed.

    Methods raise UnknownUpstreamError for upstreams of other failure domains.
    """

    def __init__(
        self,
        seat: Seat,
        upstreams: Iterable[UpstreamSlots],
        terms: LoanTerms | None = None,
        region_ceiling: float = defaults.REGION_CEILING,
    ) -> None:
        """Divide the upstreams of the seat's failure domain."""
        self.seat = seat
        self.terms = terms or LoanTerms()
        self.division = Division(seat, upstreams)
        self.lender = Lender(self.terms, seat.incarnation)
        self.borrower = Borrower(seat.vm, self.terms)
        # Upstreams that take no new work, whose slots are not lent.
        self.closed: frozenset[str] = frozenset()
        # The length of each service's queue at this VM.
        self.queue_lengths: Mapping[str, int] = {}
        self._ceiling = region_ceiling
        # The positions whose VMs have not yet reported what they borrowed
        # from earlier incarnations of this VM.
        self._unreconciled = set(range(seat.positions)) - {seat.position}

    def fill(self, candidates: Iterable[Candidate], now: float) -> None:
        """Copy usable slots and requests in flight into the candidates."""
        for candidate in candidates:
            candidate.slots = self.capacity(candidate.name, now)
            candidate.in_flight = self.in_use(candidate.name)

    def capacity(self, upstream: str, now: float) -> int:
        """Return how many requests this VM may have at the upstream."""
        owned = self.own_slots(self.division.share_of(upstream), now)
        return owned + self.borrower.usable_slots(upstream, now)

    def in_use(self, upstream: str) -> int:
        """Return how many requests this VM has at the upstream."""
        share = self.division.share_of(upstream)
        return share.busy + self.borrower.busy_slots(upstream)

    def acquire(self, upstream: str, now: float) -> SlotLease | None:
        """Acquire a slot for one request, None when none is free."""
        share = self.division.share_of(upstream)
        owned = self.own_slots(share, now)
        if share.busy < owned:
            share.busy += 1
            verify(REGION_LOAD, holds=share.busy <= owned, detail=upstream)
            return SlotLease(share)
        loan = self.borrower.find_free(upstream, now)
        if loan is None:
            return None
        loan.busy = True
        return SlotLease(share, loan)

    def release(self, lease: SlotLease, now: float) -> None:
        """Release a slot when its request is over at the upstream."""
        if lease.loan is None:
            lease.share.busy -= 1
            return
        lease.loan.busy = False
        lease.loan.idle_since = now

    def admit_foreign(
        self,
        service: str,
        from_region: str,
        now: float,
    ) -> bool:
        """Return whether work of another failure domain is admitted now.

        Work of the same region may start, or wait in a short queue; work of
        other regions may only start, and only while no local work waits.
        """
        waiting = self.queue_lengths.get(service, 0)
        capacity, busy = self.service_load(service, now)
        same_region = from_region == self.seat.region
        if same_region and may_wait(capacity, waiting):
            return True
        admitted = not waiting and may_start(
            capacity,
            busy,
            self._ceiling,
            same_region=same_region,
        )
        verify(
            REGION_LOAD,
            holds=not admitted or busy < capacity,
            detail=service,
        )
        return admitted

    def service_load(self, service: str, now: float) -> tuple[int, int]:
        """Return this VM's slots at the service and how many are in use."""
        capacity = 0
        busy = 0
        for share in self.division.of_service(service):
            name = share.upstream.name
            if name not in self.closed:
                capacity += self.capacity(name, now)
                busy += self.in_use(name)
        return capacity, busy

    def own_slots(self, share: UpstreamShare, now: float) -> int:
        """Return the owned slots that this VM may use itself."""
        if not self.is_reconciled(now):
            return reserved_slots(share.floor)
        lent = self.lender.lent_slots(share.upstream.name, now)
        return max(0, share.floor - lent)

    def is_reconciled(self, now: float) -> bool:
        """Return whether every loan of earlier incarnations is known."""
        if not self._unreconciled:
            return True
        return now >= self.seat.joined_at + self.terms.hold_s

    def reconcile(self, answer: Holdings, now: float) -> None:
        """Count as lent what a peer holds from this VM's earlier incarnations.

        Answers to another incarnation and repeated ones are ignored.
        """
        if answer.incarnation != self.seat.incarnation:
            return
        if answer.position not in self._unreconciled:
            return
        self._unreconciled.discard(answer.position)
        self.lender.restore(answer.upstreams, now)
