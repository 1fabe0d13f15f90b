"""The simulated world: deployments, a clock, requests and upstreams."""

import heapq
import itertools
import math
from collections import deque
from collections.abc import Callable, Iterator

import attrs

from chestnutshift.regions.model import Place
from chestnutshift.upstreams.division import UpstreamSlots

# A cold upstream is slower by up to this factor times its contention.
COLD_FACTOR = 3.0
WARM_REQUESTS = 150
ERROR_REPLY_S = 0.001
SAME_REGION_DELAY_S = 0.0005


@attrs.frozen
class Workload:
    """A service: its servers, and the durations of its requests.

    slots are assigned to the servers in turn. The duration of a request is
    log-normal with median_s and sigma; timeout_s is the callers' timeout.
    """

    name: str
    servers: int
    slots: tuple[int, ...]
    median_s: float
    sigma: float
    timeout_s: float
    idempotent: bool = True

    @property
    def capacity(self) -> float:
        """The requests per second that keep every slot busy."""
        mean_s = self.median_s * math.exp(self.sigma**2 / 2)
        return self.servers * sum(self.slots) / len(self.slots) / mean_s

    def upstreams(self) -> Iterator[UpstreamSlots]:
        """Iterate over the servers and their slots."""
        slots = itertools.cycle(self.slots)
        for number in range(self.servers):
            name = f'{self.name}-{number}'
            yield UpstreamSlots(name, self.name, next(slots))


@attrs.frozen
class Deployment:
    """The regions and workloads of one deployment.

    delays_s are the one-way delays between regions: first and second, first
    and third, second and third.
    """

    regions: tuple[str, ...]
    delays_s: tuple[float, ...]
    workloads: tuple[Workload, ...]

    def delay_s(self, source: Place, target: Place) -> float:
        """Return the one-way delay between two VMs."""
        if source.region == target.region:
            return SAME_REGION_DELAY_S
        indexes = (
            self.regions.index(place.region) for place in (source, target)
        )
        # The pairs in the order of delays_s have the index sums 1, 2 and 3.
        return self.delays_s[sum(indexes) - 1]

    def delays_from(self, place: Place) -> dict[str, float]:
        """Return the one-way delays to the other regions."""
        return {
            other.region: self.delay_s(place, other)
            for other in self.places()
            if other.region != place.region
        }

    def places(self) -> list[Place]:
        """Return the places of the entry VMs."""
        seats = itertools.product(self.regions, (1, 2), (0, 1))
        return [
            Place(f'{region}-{domain}-{vm}', f'{region}-{domain}', region)
            for region, domain, vm in seats
        ]

    def upstreams(self, clock: 'Clock') -> list['FakeUpstream']:
        """Return the upstreams, spread evenly over the failure domains."""
        domains = [place.failure_domain for place in self.places()[::2]]
        domains_in_turn = itertools.cycle(domains)
        return [
            FakeUpstream(clock, spec, next(domains_in_turn))
            for workload in self.workloads
            for spec in workload.upstreams()
        ]


DEPLOYMENTS = {
    'anadolu': Deployment(
        ('marmara', 'ege', 'ic-anadolu'),
        (0.02, 0.028, 0.035),
        (
            Workload('listings', 16, (9,), 0.06, 0.5, 2),
            Workload('bookings', 12, (5, 6), 0.06, 0.4, 5, idempotent=False),
            Workload('documents', 12, (3,), 0.15, 0.6, 10, idempotent=False),
            Workload('reports', 12, (7, 8), 0.4, 0.6, 20),
        ),
    ),
    'salal-row': Deployment(
        ('lower-mainland', 'island', 'interior'),
        (0.02, 0.025, 0.03),
        (
            Workload('listings', 16, (9,), 0.05, 0.5, 2),
            Workload('payments', 12, (5, 6), 0.08, 0.5, 5, idempotent=False),
            Workload('documents', 12, (3,), 0.12, 0.6, 10, idempotent=False),
            Workload('rosters', 12, (7, 8), 0.3, 0.6, 20),
        ),
    ),
}


@attrs.define(eq=False)
class Clock:
    """A simulated clock that runs callbacks in the order of their times."""

    now: float = 0
    _heap: list[tuple] = attrs.field(factory=list)
    _order: Iterator[int] = attrs.field(factory=itertools.count)

    def after(self, delay_s: float, callback: Callable, *args: object) -> None:
        """Schedule a callback after a delay."""
        entry = (self.now + delay_s, next(self._order), callback, args)
        heapq.heappush(self._heap, entry)

    def every(self, period_s: float, callback: Callable) -> None:
        """Run a callback now and then once every period."""
        callback()
        self.after(period_s, self.every, period_s, callback)

    def run(self, until_s: float) -> None:
        """Run all callbacks due by a time."""
        while self._heap[0][0] <= until_s:
            time_s, _, callback, args = heapq.heappop(self._heap)
            self.now = time_s
            callback(*args)


@attrs.define(eq=False)
class Request:
    """A caller's request, with its random numbers drawn in advance."""

    number: int
    workload: Workload
    account: str
    arrived_at: float
    work_s: float
    error_draw: float
    caller_delay_s: float
    in_rate: bool = True
    retries: int = 0
    moved_at: float | None = None

    @property
    def service(self) -> str:
        """The name of the service."""
        return self.workload.name

    @property
    def deadline_at(self) -> float:
        """The time at which the caller times out."""
        return self.arrived_at + self.workload.timeout_s


OutcomeCallback = Callable[[Request, str], None]


@attrs.define(eq=False)
class FakeUpstream:
    """A server with a slot for each running request.

    It queues up to as many requests again, and sheds the rest. overload counts
    the requests that found no free slot.
    """

    clock: Clock
    spec: UpstreamSlots
    domain: str
    running: int = 0
    slowness: float = 1
    error_rate: float = 0
    warm_requests: int = WARM_REQUESTS
    dead: bool = False
    leaving: bool = False
    overload: int = 0
    last_end_at: float = 0
    queue: deque[tuple[Request, OutcomeCallback]] = attrs.field(factory=deque)

    def receive(self, request: Request, done: OutcomeCallback) -> None:
        """Receive a request; call done with ok, error, shed or refused."""
        if self.dead:
            self.clock.after(ERROR_REPLY_S, done, request, 'refused')
            return
        if self.running >= self.spec.slots:
            self.overload += 1
            if len(self.queue) < self.spec.slots:
                self.queue.append((request, done))
            else:
                self.clock.after(ERROR_REPLY_S, done, request, 'shed')
            return
        self._run(request, done)

    def _run(self, request: Request, done: OutcomeCallback) -> None:
        self.running += 1
        if request.error_draw < self.error_rate:
            self.clock.after(ERROR_REPLY_S, self._end, request, done, 'error')
            return
        # A cold cache slows requests more when many run at once.
        contention = 2 * self.running / self.spec.slots
        cold = contention * max(0, 1 - self.warm_requests / WARM_REQUESTS)
        duration_s = request.work_s * self.slowness * (1 + COLD_FACTOR * cold)
        self.clock.after(duration_s, self._end, request, done, 'ok')

    def _end(
        self, request: Request, done: OutcomeCallback, outcome: str
    ) -> None:
        self.running -= 1
        self.warm_requests += 1
        self.last_end_at = self.clock.now
        done(request, 'refused' if self.dead else outcome)
        if self.queue and self.running < self.spec.slots:
            self._run(*self.queue.popleft())
