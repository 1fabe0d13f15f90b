"""One run of a case: twelve entry VMs, their upstreams and callers."""

import random
from collections import Counter

import attrs

from bench.admission import ADMISSIONS
from bench.entry_vm import EntryVm, Policies
from bench.measures import Measures
from bench.model import Clock, Deployment, FakeUpstream, Request, Workload
from bench.reporting import Reporting
from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.regions.model import Place

MEASURE_FROM_S = 1.0
# The admission policy runs this long before the first request, so that its
# buckets are filled and lent.
ADMISSION_LEAD_S = 3.0
ADMISSION_STEP_S = 0.01
SAMPLE_S = 0.1
# The rates of all accounts together, as a multiple of the offered load.
LIMIT_FACTOR = 1.3
BURST_S = 0.5
REDIRECT_S = 0.02
# Time after the last arrival in which open requests may complete.
COMPLETION_S = 3.0
CALLER_DELAY_S = (0.003, 0.008)
# Weights of the VMs of a region in the callers' choice.
VM_WEIGHTS = (4, 3, 2, 1)


@attrs.define
class Tally:
    """Counts of the requests that arrived after MEASURE_FROM_S.

    By account, offered and refused count the requests within its rate, and
    served counts all. An account that sends too much is not wrongfully
    refused while it gets its rate, whichever of its requests are refused.
    """

    latencies_s: list[float] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    offered: Counter[str] = attrs.field(factory=Counter)
    refused: Counter[str] = attrs.field(factory=Counter)
    served: Counter[str] = attrs.field(factory=Counter)
    headroom: float = 1
    drain_s: float | None = None

    def measures(self) -> Measures:
        """Return the measures of the run."""
        shares = [
            min(1, self.served[account] / count)
            for account, count in self.offered.items()
        ]
        wrongful = sum(
            min(self.refused[account], max(0, count - self.served[account]))
            for account, count in self.offered.items()
        )
        return Measures(
            latency_p50_ms=self._quantile_ms(0.5),
            latency_p99_ms=self._quantile_ms(0.99),
            headroom=round(self.headroom, 3),
            drain_s=self.drain_s,
            worst_account_share=round(min(shares), 4),
            wrongful_refusal_rate=round(wrongful / self.offered.total(), 4),
            over_admitted=self.counts['over_admitted'],
        )

    def _quantile_ms(self, fraction: float) -> float:
        ordered = sorted(self.latencies_s)
        return round(1000 * ordered[int(fraction * (len(ordered) - 1))], 1)


@attrs.define
class Callers:
    """The demand by workload, region and account.

    loads are fractions of each workload's capacity. The weights of regions
    need not add up to one. The sum of the weights of accounts scales the load.
    """

    loads: dict[str, float]
    regions: dict[str, float]
    accounts: dict[str, float]
    until_s: float = 0

    def interarrival_s(self, workload: Workload, rng: random.Random) -> float:
        """Draw the time until the next request of a workload."""
        rate = self.loads[workload.name] * workload.capacity
        return rng.expovariate(rate * sum(self.accounts.values()))

    def draw(self, number: int, workload: Workload, now: float, rng) -> Request:
        """Draw one request."""
        names = list(self.accounts)
        return Request(
            number,
            workload,
            rng.choices(names, weights=self.accounts.values())[0],
            now,
            workload.median_s * rng.lognormvariate(0, workload.sigma),
            rng.random(),
            rng.uniform(*CALLER_DELAY_S),
        )


def make_full_buckets(
    limits: dict[str, AccountLimit],
) -> dict[str, TokenBucket]:
    """Return a full bucket for each account, over all VMs together."""
    return {
        name: TokenBucket(limit.rate, limit.burst, limit.burst, updated=0)
        for name, limit in limits.items()
    }


class Fleet:
    """The entry VMs with their upstreams, callers and admission."""

    def __init__(
        self,
        deployment: Deployment,
        policies: Policies,
        callers: Callers,
        seed: str,
    ) -> None:
        """Create the fleet at time zero."""
        self.deployment = deployment
        self.policies = policies
        self.callers = callers
        self.seed = seed
        self.clock = Clock()
        self.tally = Tally()
        self.reporting = Reporting(self)
        self.cut_domains: set[str] = set()
        self.lost_regions: set[str] = set()
        self.upstreams = deployment.upstreams(self.clock)
        self.vms = {
            place.vm: EntryVm(place, number % 2, self)
            for number, place in enumerate(deployment.places())
        }
        rate = LIMIT_FACTOR * sum(
            callers.loads[workload.name] * workload.capacity
            for workload in deployment.workloads
        )
        limits = {
            name: AccountLimit(rate * weight, rate * weight * BURST_S)
            for name, weight in callers.accounts.items()
        }
        self.offered_buckets = make_full_buckets(limits)
        self.admitted_buckets = make_full_buckets(limits)
        self.admission = ADMISSIONS.get(policies.admission)(
            tuple(self.vms),
            {vm.place.vm: vm.place.region for vm in self.vms.values()},
            limits,
            random.Random(f'{seed}/admission'),
        )

    def run(self, duration_s: float) -> Tally:
        """Run the case for duration_s; return the tally."""
        self.callers.until_s = duration_s
        for step in range(int(ADMISSION_LEAD_S / ADMISSION_STEP_S)):
            self.admission.advance(step * ADMISSION_STEP_S)
        for index, workload in enumerate(self.deployment.workloads):
            rng = random.Random(f'{self.seed}/{workload.name}')
            # The offset keeps the request numbers of the workloads apart.
            self._generate_request(workload, rng, index * 10_000_000)
        self.clock.every(ADMISSION_STEP_S, self._advance_admission)
        self.clock.every(SAMPLE_S, self._sample_headroom)
        self.reporting.start()
        self.clock.run(duration_s + COMPLETION_S)
        return self.tally

    def upstreams_of(self, target: str) -> list[FakeUpstream]:
        """Return the upstreams of a failure domain or region."""
        return [
            upstream
            for upstream in self.upstreams
            if target in {upstream.domain, upstream.domain[:-2]}
        ]

    def is_reachable(self, source: Place, target: Place) -> bool:
        """Return whether two VMs can reach each other."""
        if {source.region, target.region} & self.lost_regions:
            return False
        domains = {source.failure_domain, target.failure_domain}
        return len(domains) == 1 or not domains & self.cut_domains

    def send(self, source: EntryVm, target: EntryVm, request: Request) -> None:
        """Send a moved request to a VM of another domain."""
        self.tally.counts['moved'] += 1
        delay_s = self.deployment.delay_s(source.place, target.place)
        self.clock.after(delay_s, self._offer_moved, source, target, request)

    def handle_outcome(
        self,
        request: Request,
        outcome: str,
        vm: EntryVm,
        home: EntryVm,
    ) -> None:
        """Deliver an answer to the caller, or retry or count a failure."""
        delay_s = self.deployment.delay_s(vm.place, home.place)
        self._record_move_end(request, vm, home)
        if outcome == 'ok':
            self._deliver_answer(request, delay_s)
            return
        wait_s = home.retry_delay_s(request, outcome)
        if wait_s is None and outcome == 'error':
            self._count('failed', request)
        elif wait_s is None:
            self.refuse(request)
        else:
            request.retries += 1
            self.clock.after(delay_s + wait_s, home.serve, request)

    def refuse(self, request: Request) -> None:
        """Count a refusal."""
        self._count('refused', request)
        if request.in_rate and request.arrived_at >= MEASURE_FROM_S:
            self.tally.refused[request.account] += 1

    def _count(self, name: str, request: Request) -> None:
        self.tally.counts[name] += request.arrived_at >= MEASURE_FROM_S

    def _generate_request(
        self, workload, rng: random.Random, number: int
    ) -> None:
        now = self.clock.now
        if now >= self.callers.until_s:
            return
        request = self.callers.draw(number, workload, now, rng)
        regions = self.callers.regions
        region = rng.choices(list(regions), weights=regions.values())[0]
        vms = [vm for vm in self.vms.values() if vm.place.region == region]
        vm = rng.choices(vms, weights=VM_WEIGHTS)[0]
        request.in_rate = self.offered_buckets[request.account].take(1, now)
        if request.in_rate and now >= MEASURE_FROM_S:
            self.tally.offered[request.account] += 1
        self.clock.after(request.caller_delay_s, self._admit, request, vm)
        interarrival_s = self.callers.interarrival_s(workload, rng)
        self.clock.after(
            interarrival_s, self._generate_request, workload, rng, number + 1
        )

    def _admit(self, request: Request, vm: EntryVm) -> None:
        if vm.place.region in self.lost_regions:
            # A lost region is always the last one.
            live = list(self.vms.values())[: -len(VM_WEIGHTS)]
            other = live[request.number % len(live)]
            self.clock.after(REDIRECT_S, self._admit, request, other)
            return
        now = self.clock.now
        name = request.account
        if not self.admission.admit(vm.place.vm, name, now + ADMISSION_LEAD_S):
            self._count('limited', request)
            self.refuse(request)
            return
        if not self.admitted_buckets[name].take(1, now):
            self._count('over_admitted', request)
        vm.budget.record_attempt(request.service, name, now)
        vm.serve(request)

    def _offer_moved(
        self, source: EntryVm, target: EntryVm, request: Request
    ) -> None:
        reachable = self.is_reachable(source.place, target.place)
        if reachable and target.accept_foreign(request, source):
            return
        delay_s = self.deployment.delay_s(source.place, target.place)
        self.clock.after(delay_s, self._return_refused, source, target, request)

    def _return_refused(
        self, source: EntryVm, target: EntryVm, request
    ) -> None:
        self._record_move_end(request, target, source)
        now = self.clock.now
        source.loads.record_refusal(target.place.vm, request.service, now)
        source.serve(request)

    def _record_move_end(self, request: Request, target: EntryVm, home) -> None:
        if request.moved_at is not None:
            name = target.place.vm
            home.loads.record_end(name, request.service, request.moved_at)

    def _deliver_answer(self, request: Request, delay_s: float) -> None:
        now = self.clock.now + delay_s
        if now > request.deadline_at:
            self._count('failed', request)
        elif request.arrived_at >= MEASURE_FROM_S:
            latency_s = now - request.arrived_at + request.caller_delay_s
            self.tally.latencies_s.append(latency_s)
            self.tally.served[request.account] += 1

    def _advance_admission(self) -> None:
        if self.clock.now <= self.callers.until_s:
            self.admission.advance(self.clock.now + ADMISSION_LEAD_S)

    def _sample_headroom(self) -> None:
        if not MEASURE_FROM_S <= self.clock.now <= self.callers.until_s:
            return
        for region in set(self.deployment.regions) - self.lost_regions:
            region_upstreams = self.upstreams_of(region)
            slots = sum(
                upstream.spec.slots
                for upstream in region_upstreams
                if not upstream.dead
            )
            running = sum(upstream.running for upstream in region_upstreams)
            self.tally.headroom = min(self.tally.headroom, 1 - running / slots)
