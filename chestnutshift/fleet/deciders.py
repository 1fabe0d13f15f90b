"""Which VM decides on the requests of a client account.

A limit that is divided among many VMs leaves each of them less than one
request at a time, and refuses callers while the account has room elsewhere.
One VM of each region therefore decides for all of the region's VMs on the
accounts whose limit is small beside the fleet. The VMs agree on it by the
names that they hear; while they disagree, the division among the VMs that
decide keeps the limit.
"""

from collections.abc import Mapping, Sequence

from chestnutshift.rendezvous import score
from chestnutshift.routes.model import Account

# Of an account's limit, requests per second for each VM: with more, every VM
# decides on its own callers.
DIVIDED_RATE_PER_VM = 20.0


class Deciders:
    """The VMs that decide on each account, for one VM of a region."""

    def __init__(self, vm: str, region: str) -> None:
        """Know nothing but this VM."""
        self._vm = vm
        self._region = region
        self._regions: Mapping[str, Sequence[str]] = {region: [vm]}
        self._vm_count = 1
        self._ranked_by_account: dict[str, Mapping[str, Sequence[str]]] = {}

    def update(self, regions: Mapping[str, Sequence[str]], vms: int) -> None:
        """Take the VMs by region that serve callers, and how many count."""
        self._vm_count = vms
        if regions != self._regions:
            self._regions = regions
            self._ranked_by_account.clear()

    def is_divided(self, account: Account) -> bool:
        """Tell whether every VM decides on the account by itself."""
        return account.rate >= DIVIDED_RATE_PER_VM * self._vm_count

    def near(self, account: Account) -> Sequence[str]:
        """Return this region's VMs, the one that decides first."""
        return self._rank(account).get(self._region, ())

    def one_per_region(self, account: Account) -> frozenset[str]:
        """Return the VM of each region that decides on the account."""
        ranked = self._rank(account).values()
        return frozenset(names[0] for names in ranked if names)

    def _rank(self, account: Account) -> Mapping[str, Sequence[str]]:
        found = self._ranked_by_account.get(account.name)
        if found is None:
            found = {
                region: _rank_names(account.name, names)
                for region, names in self._regions.items()
            }
            self._ranked_by_account[account.name] = found
        return found


def _rank_names(account: str, names: Sequence[str]) -> Sequence[str]:
    key = account.encode()
    return sorted(names, key=lambda name: score(key, name), reverse=True)
