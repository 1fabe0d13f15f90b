"""An entry VM: the product's decisions over a simulated transport."""

import functools
import random

import attrs

from bench.model import FakeUpstream, Request
from chestnutshift.configuration.model import (
    RetriesPreset,
    ShiftPreset,
    UpstreamsPreset,
)
from chestnutshift.regions.loads import LoadTable
from chestnutshift.regions.model import MovableRequest, Place
from chestnutshift.regions.steering import LocalTopology, Steering
from chestnutshift.retries.budget import RetryBudget
from chestnutshift.retries.deadline import Deadline
from chestnutshift.retries.decision import Failure, decide_retry
from chestnutshift.upstreams.choice import POLICIES
from chestnutshift.upstreams.division import Seat
from chestnutshift.upstreams.exceptions import RefusedError
from chestnutshift.upstreams.health import (
    HealthTable,
    LeavingNotice,
    NoticeSource,
)
from chestnutshift.upstreams.lending import SlotLending
from chestnutshift.upstreams.model import Candidate
from chestnutshift.upstreams.queueing import QueuedRequest, ServiceQueue
from chestnutshift.upstreams.slots import SlotLease, SlotTable
from chestnutshift.upstreams.warmup import ConnectionPacer, WarmUp

CONNECT_S = 0.001
RAMP_S = 5.0


@attrs.frozen
class Policies:
    """The policy by name for each kind of decision."""

    choice: str = 'observed'
    slots: str = 'divided'
    retries: str = 'budget'
    admission: str = 'escrow'


@attrs.define
class UpstreamLink:
    """One VM's connections to an upstream and what it knows of it.

    idle counts the open connections without a request.
    """

    upstream: FakeUpstream
    candidate: Candidate
    pacer: ConnectionPacer
    warm_up: WarmUp
    idle: int = 0

    def connect(self, now: float) -> float:
        """Take an idle or a new connection; return the wait for it in s."""
        if self.idle:
            self.idle -= 1
            return 0
        return CONNECT_S + (self.pacer.reserve(now) or now) - now


class EntryVm:
    """One entry VM of a simulated fleet.

    The home of a request is the VM that received it from its caller.
    """

    def __init__(self, place: Place, position: int, fleet) -> None:
        """Create the VM with the upstreams of its failure domain.

        position is its number in the failure domain.
        """
        self.place = place
        self.fleet = fleet
        self.rng = random.Random(f'{fleet.seed}/{place.vm}')
        preset = UpstreamsPreset(policy=fleet.policies.choice)
        self.policy = POLICIES.get(preset.policy)(preset)
        self.health = HealthTable()
        self.budget = RetryBudget(RetriesPreset())
        self.loads = LoadTable(preset.report_age_s)
        shift = ShiftPreset(ramp_s=RAMP_S)
        topology = LocalTopology(place, fleet.deployment.delays_from(place), 4)
        self.steering = Steering(topology, shift, self.loads, 0)
        self.links = {
            upstream.spec.name: UpstreamLink(
                upstream,
                Candidate(upstream.spec.name, upstream.domain, place.region, 0),
                ConnectionPacer(preset, 2),
                WarmUp(RAMP_S),
            )
            for upstream in fleet.upstreams
            if upstream.domain == place.failure_domain
        }
        # Without division, every VM uses all slots as if it were alone.
        vms = 2 if fleet.policies.slots == 'divided' else 1
        self.table = SlotTable(
            Seat(place.vm, place.region, position % vms, vms),
            [link.upstream.spec for link in self.links.values()],
        )
        self.slot_lending = SlotLending(self.table)
        self.queues = {
            service: ServiceQueue(service) for service in self.table.division
        }
        # Shared with the slot table, which admits foreign requests by it.
        self.queue_lengths = dict.fromkeys(self.queues, 0)
        self.table.queue_lengths = self.queue_lengths
        self.queued_requests: dict[QueuedRequest, tuple[Request, EntryVm]] = {}

    def serve(self, request: Request) -> None:
        """Start a request here, move it to another VM or queue it."""
        if not self.queues[request.service] and self.start(request, self):
            return
        if request.moved_at is not None or not self.move(request):
            self.enqueue(request, self)

    def start(self, request: Request, home: 'EntryVm') -> bool:
        """Send a request to a free upstream of this domain, if there is one."""
        now = self.fleet.clock.now
        entries = self.table.division.of_service(request.service)
        links = [self.links[entry.upstream.name] for entry in entries]
        candidates = [link.candidate for link in links]
        self.table.fill(candidates, now)
        self.health.fill(candidates)
        for link in links:
            link.candidate.warm = link.warm_up.fraction(now)
        trials = request.workload.idempotent
        chosen = self.policy.choose(candidates, now, self.rng, trials=trials)
        lease = chosen and self.table.acquire(chosen.name, now)
        if not lease:
            return False
        self.health.verify_sendable(chosen.name, now)
        link = self.links[chosen.name]
        done = functools.partial(self.handle_outcome, lease, home, now)
        wait_s = link.connect(now)
        self.fleet.clock.after(wait_s, link.upstream.receive, request, done)
        return True

    def handle_outcome(
        self,
        lease: SlotLease,
        home: 'EntryVm',
        started_at: float,
        request: Request,
        outcome: str,
    ) -> None:
        """Record an upstream's outcome, then start queued requests."""
        now = self.fleet.clock.now
        name = lease.upstream
        link = self.links[name]
        duration_s = now - started_at
        link.idle += 1
        self.table.release(lease, now)
        link.candidate.record_answer(duration_s, now, ok=outcome == 'ok')
        if outcome == 'ok':
            self.health.record_success(name, now)
            link.warm_up.record_work(now)
            self.queues[request.service].record_duration(duration_s)
        elif outcome != 'shed':
            refused = outcome == 'refused'
            self.health.record_failure(name, outcome, now, refused=refused)
        if link.upstream.leaving:
            notice = LeavingNotice(name, NoticeSource.ANSWER)
            self.health.record_leaving(notice, now)
            self.table.closed = self.health.closed()
        self.fleet.handle_outcome(request, outcome, self, home)
        self.start_queued(request.service)

    def move(self, request: Request) -> bool:
        """Send a request to a VM of another domain, if one has room."""
        now = self.fleet.clock.now
        service = request.service
        queue = self.queues[service]
        slots, _ = self.table.service_load(service, now)
        wait_s = queue.wait_s(request.account, slots)
        wait_s += queue.duration_s / max(1, slots)
        demand = MovableRequest(service, 0, wait_s, request.deadline_at)
        place = self.steering.choose(demand, now, self.rng, frozenset())
        if place is None:
            return False
        request.moved_at = now
        self.steering.record_move(place, service, now)
        self.fleet.send(self, self.fleet.vms[place.vm], request)
        return True

    def accept_foreign(self, request: Request, home: 'EntryVm') -> bool:
        """Accept a request from another domain if this one has room."""
        now = self.fleet.clock.now
        region = home.place.region
        if not self.table.admit_foreign(request.service, region, now):
            return False
        idle = not self.queue_lengths[request.service]
        if idle and self.start(request, home):
            return True
        if region != self.place.region:
            return False
        self.enqueue(request, home)
        return True

    def enqueue(self, request: Request, home: 'EntryVm') -> None:
        """Queue a request or refuse it; refuse the one evicted for it."""
        now = self.fleet.clock.now
        slots, _ = self.table.service_load(request.service, now)
        waiting = QueuedRequest('', request.account, request.deadline_at)
        try:
            evicted = self.queues[request.service].offer(waiting, slots, now)
        except RefusedError:
            self.fleet.refuse(request)
            return
        self.queued_requests[waiting] = (request, home)
        self.queue_lengths[request.service] = len(self.queues[request.service])
        if evicted:
            self.fleet.refuse(self.queued_requests.pop(evicted)[0])

    def start_queued(self, service: str) -> None:
        """Refuse expired requests, then start others while slots are free."""
        now = self.fleet.clock.now
        queue = self.queues[service]
        for expired in queue.remove_expired(now):
            self.fleet.refuse(self.queued_requests.pop(expired)[0])
        while queue and self.start_next(service, now):
            self.queue_lengths[service] = len(queue)
        self.queue_lengths[service] = len(queue)

    def start_next(self, service: str, now: float) -> bool:
        """Start the next queued request if a slot is free."""
        slots, busy = self.table.service_load(service, now)
        waiting = self.queues[service].take(now) if busy < slots else None
        if waiting is None:
            return False
        request, home = self.queued_requests.pop(waiting)
        if not self.start(request, home):
            self.enqueue(request, home)
            return False
        return True

    def retry_delay_s(self, request: Request, outcome: str) -> float | None:
        """Return the delay of a retry, None if it is denied."""
        failure = Failure(
            service=request.service,
            account=request.account,
            idempotent=request.workload.idempotent,
            not_run=outcome in {'shed', 'refused'},
            retries_done=request.retries,
            expected_s=self.queues[request.service].duration_s,
        )
        now = self.fleet.clock.now
        budget = self.budget
        if self.fleet.policies.retries == 'naive':
            budget = RetryBudget(RetriesPreset())
        deadline = Deadline(request.deadline_at)
        decision = decide_retry(failure, deadline, budget, now, self.rng)
        return None if decision.denial else decision.delay_s
