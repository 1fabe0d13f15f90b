"""Selection of the VMs that enforce the limit of a client account.

Dividing a small limit among many VMs would leave each of them less than one
request at a time, and callers would be refused while other VMs have unused
shares. For an account whose limit is small in proportion to the fleet, one
VM in each region therefore decides for all VMs of the region. The VMs select
it by rendezvous hashing of the names of the VMs that send them heartbeats.
While their selections differ, the limit still holds, because it is divided
among all VMs that decide.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Protocol

from chestnutshift.fleet.bandwidth import without_slow_links
from chestnutshift.rendezvous import score
from chestnutshift.routes.model import Account

# If an account's rate is at least this many requests per second for each VM
# of the fleet, every VM decides on its own callers.
DIVIDED_RATE_PER_VM = 20.0


class Candidate(Protocol):
    """A VM that may decide."""

    vm: str
    region: str
    link_mbps: float


class Deciders:
    """The VMs that decide on each account, as seen by one VM."""

    def __init__(self, vm: str, region: str) -> None:
        """Start with this VM as the only one of the fleet."""
        self._vm = vm
        self._region = region
        self._regions: Mapping[str, Sequence[str]] = {region: [vm]}
        self._vm_count = 1
        self._ranked_by_account: dict[str, Mapping[str, Sequence[str]]] = {}

    def update(self, regions: Mapping[str, Sequence[str]], vms: int) -> None:
        """Set the serving VMs by region, and the number of VMs in the fleet.

        vms includes VMs that may hold a share without serving.
        """
        self._vm_count = vms
        if regions != self._regions:
            self._regions = regions
            self._ranked_by_account.clear()

    def is_divided(self, account: Account) -> bool:
        """Return whether each VM decides on its own requests of the account."""
        return account.rate >= DIVIDED_RATE_PER_VM * self._vm_count

    def ranked_in_region(self, account: Account) -> Sequence[str]:
        """Return this region's VMs by rank; the first one decides."""
        return self._rank(account).get(self._region, ())

    def one_per_region(self, account: Account) -> frozenset[str]:
        """Return the VM of each region that decides on the account."""
        ranked = self._rank(account).values()
        return frozenset(names[0] for names in ranked if names)

    def _rank(self, account: Account) -> Mapping[str, Sequence[str]]:
        ranked = self._ranked_by_account.get(account.name)
        if ranked is None:
            ranked = {
                region: _rank_names(account.name, names)
                for region, names in self._regions.items()
            }
            self._ranked_by_account[account.name] = ranked
        return ranked


def _rank_names(account: str, names: Sequence[str]) -> Sequence[str]:
    key = account.encode()
    return sorted(names, key=lambda name: score(key, name), reverse=True)


def candidates_by_region(
    serving_peers: Iterable[Candidate], own: Candidate, *, is_serving: bool
) -> dict[str, list[str]]:
    """Return the names of the VMs that may decide on accounts, by region.

    own is this VM. It is included while it serves, even if it is not ready:
    it decides on questions until its peers know that it is stopping.
    """
    regions: dict[str, list[Candidate]] = {}
    for peer in serving_peers:
        regions.setdefault(peer.region, []).append(peer)
    own_region = regions.setdefault(own.region, [])
    if is_serving or not own_region:
        own_region.append(own)
    return {
        region: sorted(vm.vm for vm in without_slow_links(vms))
        for region, vms in regions.items()
    }
