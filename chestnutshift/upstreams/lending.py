"""Lending and borrowing of slots between the VMs of a failure domain."""

import math
from collections.abc import Mapping, Sequence

from chestnutshift.upstreams.division import reserved_slots
from chestnutshift.upstreams.loans import (
    Holdings,
    HoldingsRequest,
    LentSlot,
    Message,
    Outgoing,
    SlotGrant,
    SlotRequest,
    SlotReturn,
)
from chestnutshift.upstreams.slots import SlotTable

BORROW_LOAD = 0.75
LENDER_FREE_SLOTS = 1


class SlotLending:
    """One VM's side of slot loans, as borrower and as lender."""

    def __init__(self, table: SlotTable) -> None:
        """Borrow slots for the table and lend from it."""
        self._table = table

    def plan(
        self,
        now: float,
        waiting: Mapping[str, int],
        peers: Sequence[str],
    ) -> list[Outgoing]:
        """Return the messages due now, given each service's queue length.

        peers are the reachable VMs of the failure domain. To be called every
        few tens of milliseconds and when a queue begins to fill.
        """
        table = self._table
        table.queue_lengths = waiting
        messages = table.borrower.collect_returns(now)
        if not peers:
            return messages
        if not table.is_reconciled(now):
            request = HoldingsRequest(table.seat.vm, table.seat.incarnation)
            messages.extend(Outgoing(peer, request) for peer in peers)
        for service in table.division:
            # Each peer is asked for an equal part of the missing slots.
            part = math.ceil(self._missing_slots(service, now) / len(peers))
            messages.extend(self._request_slots(service, part, peers, now))
        return messages

    def handle_message(self, message: Message, now: float) -> list[Outgoing]:
        """Process a peer's message and return the replies to it."""
        match message:
            case SlotRequest():
                return [self.handle_request(message, now)]
            case SlotGrant():
                self.handle_grant(message, now)
            case SlotReturn():
                self._table.lender.accept_return(message)
            case HoldingsRequest():
                return [self._report_holdings(message)]
            case Holdings():
                self._table.reconcile(message, now)
        return []

    def handle_request(self, request: SlotRequest, now: float) -> Outgoing:
        """Lend free slots to a peer, and stop using those borrowed from it."""
        self._table.borrower.recall(request.borrower, now)
        slots: list[LentSlot] = []
        while len(slots) < request.wanted:
            name = self._upstream_to_lend(request.service, now)
            if name is None:
                break
            slots.append(self._table.lender.lend(name, now))
        grant = SlotGrant(
            lender=self._table.seat.vm,
            incarnation=self._table.seat.incarnation,
            request=request.number,
            slots=tuple(slots),
        )
        return Outgoing(request.borrower, grant)

    def handle_grant(self, grant: SlotGrant, now: float) -> int:
        """Accept a loan and return how many slots it grants."""
        return self._table.borrower.accept(grant, now)

    def _missing_slots(self, service: str, now: float) -> int:
        """Return how many slots to borrow; none below a load of BORROW_LOAD."""
        waiting = self._table.queue_lengths.get(service, 0)
        capacity, busy = self._table.service_load(service, now)
        if not waiting and busy < capacity * BORROW_LOAD:
            return 0
        return max(0, waiting + math.ceil(busy / BORROW_LOAD) - capacity)

    def _request_slots(
        self,
        service: str,
        wanted: int,
        peers: Sequence[str],
        now: float,
    ) -> list[Outgoing]:
        if not wanted:
            return []
        borrower = self._table.borrower
        requests = [
            borrower.request_slots(service, wanted, peer, now) for peer in peers
        ]
        return [message for message in requests if message]

    def _report_holdings(self, request: HoldingsRequest) -> Outgoing:
        answer = Holdings(
            borrower=self._table.seat.vm,
            position=self._table.seat.position,
            incarnation=request.incarnation,
            upstreams=self._table.borrower.report_holdings(request),
        )
        return Outgoing(request.lender, answer)

    def _upstream_to_lend(self, service: str, now: float) -> str | None:
        """Return the upstream with the most free slots above its reserve."""
        table = self._table
        if table.queue_lengths.get(service, 0) or not table.is_reconciled(now):
            return None
        capacity, busy = table.service_load(service, now)
        if capacity - busy <= LENDER_FREE_SLOTS:
            return None
        best_name = None
        most_free = 0
        for share in table.division.of_service(service):
            owned = table.own_slots(share, now)
            free = min(owned - share.busy, owned - reserved_slots(share.floor))
            if free > most_free and share.upstream.name not in table.closed:
                best_name, most_free = share.upstream.name, free
        return best_name
