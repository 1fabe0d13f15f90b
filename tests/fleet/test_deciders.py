"""Small limits hold in a large fleet, and can be used in full."""

import random
from collections.abc import Mapping

import attrs

from chestnutshift.fleet.deciders import DIVIDED_RATE_PER_VM, Deciders
from chestnutshift.fleet.shares import AccountShares, Tolerance
from chestnutshift.routes.model import Account

TOLERANCE = Tolerance(window_s=5, ratio=0.1, slack=20)
ACCOUNT = Account('konya', rate=19, burst=19)
REGIONS = ('marmara', 'ege', 'anadolu')
VMS_EACH = 26
HEARTBEAT_S = 1.2
STEP_S = 0.01
START = 1000.0
SETTLED_S = 6.0


@attrs.define
class Vm:
    """A VM of the simulated fleet."""

    name: str
    region: str
    deciders: Deciders
    shares: AccountShares
    reported: Mapping[str, float] = attrs.field(factory=dict)
    is_lost: bool = False


@attrs.define
class Fleet:
    """A simulated fleet whose VMs exchange heartbeats and admit requests."""

    vms: dict[str, Vm] = attrs.field(factory=dict)
    admitted: list[float] = attrs.field(factory=list)
    refused: list[float] = attrs.field(factory=list)

    def exchange_heartbeats(self, now: float) -> None:
        """Deliver the heartbeats of all live VMs to all others."""
        alive = [vm for vm in self.vms.values() if not vm.is_lost]
        regions = {
            region: [vm.name for vm in alive if vm.region == region]
            for region in REGIONS
        }
        for vm in alive:
            vm.deciders.update(regions, len(self.vms))
            peer_demands = {
                peer.name: peer.reported for peer in alive if peer is not vm
            }
            vm.shares.update(peer_demands, len(self.vms), now)
        for vm in alive:
            vm.reported = vm.shares.report_demand(now)

    def request(self, name: str, now: float) -> None:
        """Simulate one request that reaches the named VM."""
        vm = self.vms[name]
        if not vm.deciders.is_divided(ACCOUNT):
            vm = self.vms[vm.deciders.ranked_in_region(ACCOUNT)[0]]
        if vm.is_lost:
            return
        is_refused = vm.shares.admit(ACCOUNT, now) is not None
        (self.refused if is_refused else self.admitted).append(now)

    def worst_window(self) -> int:
        """Return the most requests admitted in any window."""
        return max(
            sum(
                start <= admitted_at < start + TOLERANCE.window_s
                for admitted_at in self.admitted
            )
            for start in self.admitted
        )


def make_fleet() -> Fleet:
    """Return a fleet after its first round of heartbeats."""
    fleet = Fleet()
    for region in REGIONS:
        for number in range(VMS_EACH):
            name = f'{region}-{number}'
            deciders = Deciders(name, region)
            shares = AccountShares(TOLERANCE, name, deciders)
            fleet.vms[name] = Vm(name, region, deciders, shares)
    fleet.exchange_heartbeats(START)
    return fleet


def simulate(
    fleet: Fleet, rate: float, start: float, duration_s: float
) -> None:
    """Simulate requests that are spread evenly over all VMs."""
    rng = random.Random(int(start))
    names = sorted(fleet.vms)
    next_heartbeat_at = start + HEARTBEAT_S
    for step in range(int(duration_s / STEP_S)):
        now = start + step * STEP_S
        if now >= next_heartbeat_at:
            fleet.exchange_heartbeats(now)
            next_heartbeat_at += HEARTBEAT_S
        if rng.random() < rate * STEP_S:
            fleet.request(rng.choice(names), now)


def refused_ratio(fleet: Fleet, since: float) -> float:
    """Return the fraction of requests refused from then on."""
    refused = sum(refused_at >= since for refused_at in fleet.refused)
    admitted = sum(admitted_at >= since for admitted_at in fleet.admitted)
    return refused / (refused + admitted)


def tolerated_requests() -> float:
    """Return the number of requests that are tolerated in a window."""
    limit = ACCOUNT.rate * TOLERANCE.window_s + ACCOUNT.burst
    return limit + TOLERANCE.requests(ACCOUNT)


def test_small_account_at_many_vms() -> None:
    """An account within its limit, spread over 78 VMs, is hardly refused."""
    fleet = make_fleet()
    simulate(fleet, rate=12, start=START, duration_s=30)
    assert refused_ratio(fleet, START + SETTLED_S) < 1 / 50


def test_hot_small_account_at_many_vms() -> None:
    """The limit holds while the account sends six times its rate."""
    fleet = make_fleet()
    simulate(fleet, rate=12, start=START, duration_s=6)
    simulate(fleet, rate=114, start=START + SETTLED_S, duration_s=10)
    assert fleet.worst_window() <= tolerated_requests()


def test_loss_of_the_deciding_vm() -> None:
    """If the VM that decides is lost, the next one in rank takes over."""
    fleet = make_fleet()
    simulate(fleet, rate=12, start=START, duration_s=10)
    decider = next(iter(fleet.vms.values())).deciders.ranked_in_region(ACCOUNT)[
        0
    ]
    fleet.vms[decider].is_lost = True
    simulate(fleet, rate=114, start=START + 10, duration_s=4)
    simulate(fleet, rate=12, start=START + 14, duration_s=16)
    assert refused_ratio(fleet, START + 20) < 1 / 20
    assert fleet.worst_window() <= tolerated_requests()


def test_large_limits_are_divided() -> None:
    """If the rate per VM is large, no other VM is asked."""
    deciders = Deciders('vm-1', 'a')
    deciders.update({'a': ['vm-1', 'vm-2'], 'b': ['vm-3']}, 3)
    large = Account('large', rate=DIVIDED_RATE_PER_VM * 3)
    assert deciders.is_divided(large)
    assert not deciders.is_divided(ACCOUNT.__class__('small', rate=1))


def test_one_vm_of_each_region_decides() -> None:
    """All VMs select the same ones, in whatever order VMs are listed."""
    regions = {'a': ['vm-1', 'vm-2'], 'b': ['vm-3', 'vm-4']}
    selections = set()
    for vm, region in (('vm-1', 'a'), ('vm-4', 'b')):
        deciders = Deciders(vm, region)
        deciders.update(
            {name: list(reversed(vms)) for name, vms in regions.items()}, 4
        )
        selections.add(deciders.one_per_region(ACCOUNT))
    assert len(selections) == 1
    assert len(selections.pop()) == 2
