"""The cases of the experiment: the demand and the fault of each."""

from collections.abc import Callable

from bench.entry_vm import Policies
from bench.model import Deployment
from bench.simulation import Callers, Fleet, Tally
from chestnutshift.registry import Registry

# Loads of the workloads, as fractions of their capacities.
ORDINARY = (0.55, 0.55, 0.55, 0.55)
RUSH = (0.8, 0.5, 0.4, 0.3)
# Weights of the regions in the demand.
EVEN = (1, 1, 1)
SKEWED = (1.3, 0.85, 0.85)
ACCOUNT_WEIGHTS = (0.3, 0.22, 0.16, 0.1, 0.08, 0.06, 0.05, 0.03)
DURATION_S = 5.0
FAULT_AT_S = 2.0
# Callers use a cached look-up for this long.
LOOKUP_LIFETIME_S = 1.0

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
    """Run one case under the policies; return its tally and its fleet."""
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
    # In these cases the fault is a lasting condition, present from the start.
    at_s = 0 if name in {'morning_rush', 'payment_day'} else FAULT_AT_S
    fleet.clock.after(at_s, fault, fleet)
    return fleet.run(duration_s), fleet


@FAULTS.register('morning_rush')
def slow_first_upstream(fleet: Fleet) -> None:
    """Make one upstream of listings four times as slow."""
    fleet.upstreams[0].slowness = 4


@FAULTS.register('lagging_reports')
def delay_reports(fleet: Fleet) -> None:
    """Deliver every report three seconds late."""
    slow_first_upstream(fleet)
    fleet.reporting.lag_s = 3


@FAULTS.register('lying_reports')
def understate_reports(fleet: Fleet) -> None:
    """Report a fifth of the actual load."""
    slow_first_upstream(fleet)
    fleet.reporting.load_factor = 0.2


@FAULTS.register('payment_day')
def fail_some_requests(fleet: Fleet) -> None:
    """Let the upstreams of one failure domain fail a quarter of requests."""
    for upstream in fleet.upstreams_of(
        fleet.deployment.places()[0].failure_domain
    ):
        upstream.error_rate = 0.25


@FAULTS.register('nightly_reports')
def inject_nothing(fleet: Fleet) -> None:
    """Inject no fault; the case is its demand."""


@FAULTS.register('planned_drain')
def drain(fleet: Fleet) -> None:
    """Drain one upstream of each of three services."""
    drained = [fleet.upstreams[index] for index in (0, 17, 41)]
    for upstream in drained:
        upstream.leaving = True

    def measure() -> None:
        if not any(upstream.running for upstream in drained):
            last_at = max(upstream.last_end_at for upstream in drained)
            fleet.tally.drain_s = round(last_at - FAULT_AT_S, 3)

    fleet.clock.after(DURATION_S - FAULT_AT_S, measure)


@FAULTS.register('cold_shift')
def restart_cold(fleet: Fleet) -> None:
    """Restart the upstreams of one region, so that their caches are cold."""
    cold = fleet.upstreams_of(fleet.deployment.regions[1])
    for upstream in cold:
        upstream.warm_requests = 0
    for vm in fleet.vms.values():
        for link in vm.links.values():
            if link.upstream in cold:
                link.warm_up.restart(fleet.clock.now)


@FAULTS.register('greedy_account')
def raise_demand(fleet: Fleet) -> None:
    """Let one account send five times as much as before."""
    fleet.callers.accounts['member-1'] *= 5


@FAULTS.register('platform_outage')
def stop_platform(fleet: Fleet) -> None:
    """Stop the platform, and an upstream without notice."""
    fleet.admission.set_platform(up=False)
    fleet.upstreams[2].dead = True


@FAULTS.register('cut_off_domain')
def isolate_domain(fleet: Fleet) -> None:
    """Cut one failure domain off from the others and the platform."""
    domain = fleet.deployment.places()[0].failure_domain
    fleet.cut_domains.add(domain)
    inside = [name for name in fleet.vms if name.startswith(domain)]
    outside = [name for name in fleet.vms if name not in inside]
    fleet.admission.cut(inside, [*outside, 'platform'])


@FAULTS.register('lost_region')
def stop_region(fleet: Fleet) -> None:
    """Stop a region, to which cached look-ups still direct callers."""
    region = fleet.deployment.regions[2]
    fleet.lost_regions.add(region)
    for upstream in fleet.upstreams_of(region):
        upstream.dead = True
    fleet.clock.after(LOOKUP_LIFETIME_S, fleet.callers.regions.pop, region)
