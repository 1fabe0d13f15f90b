"""Assignment of upstream slots to requests, which queue while none is free."""

import math
from collections.abc import Iterator, Mapping

import attrs
import trio

from chestnutshift.exceptions import CodedError
from chestnutshift.upstreams.candidates import CandidatePool
from chestnutshift.upstreams.exceptions import (
    DeadlineTooNearError,
    NoUpstreamError,
    QueueFullError,
)
from chestnutshift.upstreams.model import Candidate
from chestnutshift.upstreams.queueing import QueuedRequest, ServiceQueue
from chestnutshift.upstreams.slots import SlotLease, SlotTable

NO_UPSTREAM_RETRY_S = 2.0
NONE_AVOIDED: frozenset[str] = frozenset()


@attrs.frozen
class SlotDemand:
    """A request for a slot; avoided names the upstreams tried before."""

    service: str
    request: str
    account: str
    deadline_at: float
    avoided: frozenset[str] = NONE_AVOIDED


@attrs.frozen(eq=False)
class HeldSlot:
    """A slot on an upstream, held by one request since started_at."""

    candidate: Candidate
    lease: SlotLease
    service: str
    started_at: float

    @property
    def upstream(self) -> str:
        """The upstream's name."""
        return self.candidate.name


class QueueLengths(Mapping[str, int]):
    """Live view of the queue lengths, by service."""

    def __init__(self, queues: Mapping[str, ServiceQueue]) -> None:
        """Read the lengths from the queues on each access."""
        self._queues = queues

    def __getitem__(self, service: str) -> int:
        """Return the length of one queue."""
        return len(self._queues[service])

    def __iter__(self) -> Iterator[str]:
        """Iterate over the services."""
        return iter(self._queues)

    def __len__(self) -> int:
        """Return the number of queues."""
        return len(self._queues)


@attrs.define(eq=False)
class _SlotFuture:
    """Future of a queued request, resolved by a slot or a refusal."""

    done: trio.Event = attrs.field(factory=trio.Event)
    slot: HeldSlot | None = None
    refusal: CodedError | None = None

    def grant(self, slot: HeldSlot) -> None:
        self.slot = slot
        self.done.set()

    def refuse(self, refusal: CodedError) -> None:
        self.refusal = refusal
        self.done.set()


class Dispatcher:
    """The queues of one VM, by service, and their use of its slots."""

    def __init__(self, table: SlotTable, pool: CandidatePool) -> None:
        """Create a dispatcher without queues; each is created on first use."""
        self._table = table
        self._pool = pool
        self._queues: dict[str, ServiceQueue] = {}
        self._futures: dict[QueuedRequest, _SlotFuture] = {}

    @property
    def queue_lengths(self) -> 'QueueLengths':
        """Live view of the length of each service's queue."""
        return QueueLengths(self._queues)

    def expected_wait_s(
        self,
        service: str,
        now: float,
        account: str = '',
    ) -> float:
        """Return a request's expected wait, infinite if none can serve it."""
        capacity, busy = self._table.service_load(service, now)
        if not capacity or not self._pool.has_live_upstream(service, now):
            return math.inf
        queue = self._queue(service)
        if busy < capacity and not queue:
            return 0
        return queue.wait_s(account, capacity)

    async def acquire(self, demand: SlotDemand) -> HeldSlot:
        """Wait for a slot.

        Raises NoUpstreamError, QueueFullError or DeadlineTooNearError as soon
        as one of them applies; in all three cases the request has not run.
        """
        now = trio.current_time()
        queue = self._queue(demand.service)
        if not queue:
            slot = self._try_acquire(demand.service, demand.avoided, now)
            if slot is not None:
                return slot
        request, future = self._enqueue(queue, demand, now)
        try:
            await future.done.wait()
        except BaseException:
            self._abandon(queue, request, future)
            raise
        if future.refusal is not None:
            raise future.refusal
        return future.slot

    def release(self, slot: HeldSlot, now: float, *, complete: bool) -> None:
        """Release a slot; complete tells whether the answer was complete."""
        duration_s = now - slot.started_at
        self._table.release(slot.lease, now)
        self._pool.record_answer(
            slot.candidate,
            duration_s,
            now,
            complete=complete,
        )
        if complete:
            self._queue(slot.service).record_duration(duration_s)
        self._serve_queue(slot.service, now)

    def tick(self, now: float) -> None:
        """Refuse requests that cannot end in time; start those that can."""
        for service, queue in self._queues.items():
            for request in queue.remove_expired(now):
                refusal = DeadlineTooNearError(
                    f'{service}: no slot became free before the deadline',
                    queue.retry_after_s(self._slots(service, now)),
                )
                self._futures.pop(request).refuse(refusal)
            self._serve_queue(service, now)
            if queue and not self._pool.has_live_upstream(service, now):
                self._refuse_all(service, queue, now)

    def _queue(self, service: str) -> ServiceQueue:
        return self._queues.setdefault(service, ServiceQueue(service))

    def _slots(self, service: str, now: float) -> int:
        return max(1, self._table.service_load(service, now)[0])

    def _enqueue(
        self,
        queue: ServiceQueue,
        demand: SlotDemand,
        now: float,
    ) -> tuple[QueuedRequest, _SlotFuture]:
        capacity = self._table.service_load(demand.service, now)[0]
        if not capacity or not self._pool.has_live_upstream(
            demand.service, now
        ):
            raise _no_upstream(demand.service)
        slots = self._slots(demand.service, now)
        request = QueuedRequest(
            demand.request, demand.account, demand.deadline_at
        )
        evicted = queue.offer(request, slots, now)
        if evicted is not None:
            refusal = QueueFullError(
                f'{demand.service}: evicted from the full queue',
                queue.retry_after_s(slots),
            )
            self._futures.pop(evicted).refuse(refusal)
        future = _SlotFuture()
        self._futures[request] = future
        return request, future

    def _refuse_all(
        self,
        service: str,
        queue: ServiceQueue,
        now: float,
    ) -> None:
        """Refuse every queued request at once: no upstream can serve them."""
        request = queue.take(now)
        while request is not None:
            self._futures.pop(request).refuse(_no_upstream(service))
            request = queue.take(now)

    def _abandon(
        self,
        queue: ServiceQueue,
        request: QueuedRequest,
        future: _SlotFuture,
    ) -> None:
        self._futures.pop(request, None)
        queue.cancel(request)
        if future.slot is not None:
            # The slot was granted while the wait was being cancelled.
            now = trio.current_time()
            self._table.release(future.slot.lease, now)
            self._serve_queue(future.slot.service, now)

    def _serve_queue(self, service: str, now: float) -> None:
        queue = self._queue(service)
        while queue:
            slot = self._try_acquire(service, NONE_AVOIDED, now)
            if slot is None:
                return
            request = queue.take(now)
            if request is None:
                self._table.release(slot.lease, now)
                return
            self._futures.pop(request).grant(slot)

    def _try_acquire(
        self,
        service: str,
        avoided: frozenset[str],
        now: float,
    ) -> HeldSlot | None:
        chosen = self._pool.choose(service, avoided, now)
        if chosen is None:
            return None
        lease = self._table.acquire(chosen.name, now)
        if lease is None:
            return None
        return HeldSlot(chosen, lease, service, now)


def _no_upstream(service: str) -> NoUpstreamError:
    return NoUpstreamError(
        f'no upstream of {service} in this failure domain takes work',
        NO_UPSTREAM_RETRY_S,
    )
