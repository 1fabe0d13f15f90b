"""The cases of the experiment: demand and faults."""

from collections.abc import Callable

from bench.entry_vm import Policies
from bench.simulation import Callers, Fleet, Tally
from bench.world import Deployment
from chestnutshift.registry import Registry

ORDINARY = (0.55, 0.55, 0.55, 0.55)
RUSH = (0.8, 0.5, 0.4, 0.3)
EVEN = (1, 1, 1)
SKEWED = (1.3, 0.85, 0.85)
ACCOUNT_WEIGHTS = (0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03)
DURATION_S = 5.0
FAULT_AT_S = 2.0
LOOKUP_S = 1.0

Fault = Callable[[Fleet], None]

FAULTS: Registry[Fault] = Registry('case')
LOADS = {
    'morning_rush': (RUSH, SKEWED),
    'lagging_reports': (RUSH, SKEWED),
    'lying_reports': (RUSH, SKEWED),
    'payment_day': ((0.5, 0.8, 0.5, 0.3), EVEN),
    'nightly_reports': ((0.15, 0.15, 0.3, 0.9), EVEN),
    'cold_shift': (ORDINARY, (1.4, 0.8, 0.8)),
    'cut_off_domain': (ORDINARY, SKEWED),
    'lost_region': ((0.6, 0.5, 0.5, 0.5), EVEN),
}


def run_case(
    name: str,
    deployment: Deployment,
    policies: Policies,
    seed: int,
    duration_s: float = DURATION_S,
) -> tuple[Tally, Fleet]:
    """Run one case under the policies."""
    loads, regions = LOADS.get(name, (ORDINARY, EVEN))
    names = [workload.name for workload in deployment.workloads]
    callers = Callers(
        loads=dict(zip(names, loads, strict=True)),
        regions=dict(zip(deployment.regions, regions, strict=True)),
        accounts={
            f'member-{number}': weight
            for number, weight in enumerate(ACCOUNT_WEIGHTS)
        },
    )
    fleet = Fleet(deployment, policies, callers, f'{seed}/{name}')
    fault = FAULTS.get(name)
    # Faults of the callers' world are there from the beginning.
    at_s = 0 if name in {'morning_rush', 'payment_day'} else FAULT_AT_S
    fleet.clock.after(at_s, fault, fleet)
    return fleet.run(duration_s), fleet


@FAULTS.register('morning_rush')
def slow_one(fleet: Fleet) -> None:
    """Make one upstream of listings four times as slow."""
    fleet.upstreams[0].slowness = 4


@FAULTS.register('lagging_reports')
def lag(fleet: Fleet) -> None:
    """Let every report come three seconds late."""
    slow_one(fleet)
    fleet.reporting.lag_s = 3


@FAULTS.register('lying_reports')
def lie(fleet: Fleet) -> None:
    """Let every report tell a fifth of the load."""
    slow_one(fleet)
    fleet.reporting.factor = 0.2


@FAULTS.register('payment_day')
def fail_now_and_then(fleet: Fleet) -> None:
    """Let the upstreams of one domain fail a part of the requests."""
    for upstream in fleet.of(fleet.deployment.places()[0].failure_domain):
        upstream.error_rate = 0.25


@FAULTS.register('nightly_reports')
def nothing(fleet: Fleet) -> None:
    """Leave everything sound."""


@FAULTS.register('planned_drain')
def drain(fleet: Fleet) -> None:
    """Let one upstream of each of three services leave."""
    drained = [fleet.upstreams[index] for index in (0, 17, 41)]
    for upstream in drained:
        upstream.leaving = True

    def measure() -> None:
        if not any(upstream.running for upstream in drained):
            last_at = max(upstream.last_end_at for upstream in drained)
            fleet.tally.drain_s = round(last_at - FAULT_AT_S, 3)

    fleet.clock.after(DURATION_S - FAULT_AT_S, measure)


@FAULTS.register('cold_shift')
def cool_down(fleet: Fleet) -> None:
    """Restart a region's upstreams, which come back cold."""
    cold = fleet.of(fleet.deployment.regions[1])
    for upstream in cold:
        upstream.warm_requests = 0
    for vm in fleet.vms.values():
        for link in vm.links.values():
            if link.upstream in cold:
                link.warm_up.restart(fleet.clock.now)


@FAULTS.register('greedy_account')
def want_more(fleet: Fleet) -> None:
    """Let one account send five times its usual rate."""
    fleet.callers.accounts['member-1'] *= 5


@FAULTS.register('platform_outage')
def lose_platform(fleet: Fleet) -> None:
    """Take the platform away and an upstream without a word."""
    fleet.admission.set_platform(up=False)
    fleet.upstreams[2].dead = True


@FAULTS.register('cut_off_domain')
def cut_off(fleet: Fleet) -> None:
    """Cut one failure domain off from everything else."""
    domain = fleet.deployment.places()[0].failure_domain
    fleet.cut.add(domain)
    inside = [name for name in fleet.vms if name.startswith(domain)]
    outside = [name for name in fleet.vms if name not in inside]
    fleet.admission.cut(inside, [*outside, 'platform'])


@FAULTS.register('lost_region')
def lose_region(fleet: Fleet) -> None:
    """Lose a region; callers' look-ups name it a while longer."""
    region = fleet.deployment.regions[2]
    fleet.lost.add(region)
    for upstream in fleet.of(region):
        upstream.dead = True
    fleet.clock.after(LOOKUP_S, fleet.callers.regions.pop, region)
