"""What requests must pass before they are sent to upstreams."""

import abc

import attrs

from chestnutshift.edge import events
from chestnutshift.edge.admission import Admitted, admit
from chestnutshift.edge.crossings import (
    CrossingReader,
    admit_crossing,
)
from chestnutshift.edge.dialect import InboundRequest
from chestnutshift.edge.limits import LimitChecker
from chestnutshift.edge.pending_requests import PendingRequest
from chestnutshift.edge.state import EdgeState
from chestnutshift.forwarding.requests import Headers


class Gate(abc.ABC):
    """Admits the requests of one port."""

    @abc.abstractmethod
    def admit(
        self, request: InboundRequest, headers: Headers, now: float
    ) -> Admitted:
        """Return the request with route and account; raises RefusalError.

        headers are all of the head, those that are not forwarded included.
        """

    @abc.abstractmethod
    async def prepare(self, pending: PendingRequest) -> None:
        """Charge the account, or take over what a peer has done.

        Raises RefusalError.
        """


@attrs.frozen
class CallersGate(Gate):
    """Admits callers by their keys, within the limits of their accounts."""

    _state: EdgeState
    _limits: LimitChecker

    def admit(
        self, request: InboundRequest, _headers: Headers, now: float
    ) -> Admitted:
        """Return the request with route and account; raises RefusalError."""
        return admit(self._state, request, now)

    async def prepare(self, pending: PendingRequest) -> None:
        """Charge the account; raises RefusalError."""
        await self._limits.charge(pending.admitted)


@attrs.frozen
class PeersGate(Gate):
    """Admits peers by their proofs; they have charged the accounts."""

    _state: EdgeState
    _reader: CrossingReader

    def admit(
        self, request: InboundRequest, headers: Headers, now: float
    ) -> Admitted:
        """Return the request with route and account; raises RefusalError."""
        received = self._reader.read(headers, request)
        admitted = admit_crossing(self._state, request, received, now)
        self._state.metrics.crossings.received.inc()
        self._state.event_log.emit(
            events.REQUEST_TAKEN_OVER,
            request=request.request_id,
            peer=received.crossing.sender,
            service=admitted.service,
            table=received.progress.table,
            sent_count=received.progress.sent_count,
        )
        return attrs.evolve(admitted, progress=received.progress)

    async def prepare(self, pending: PendingRequest) -> None:
        """Take over what the peer has done; it has charged the account."""
        progress = pending.admitted.progress
        pending.sent_count = progress.sent_count
        find = self._state.directory.find
        pending.avoided.update(filter(None, map(find, progress.tried)))
