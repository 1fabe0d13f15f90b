"""What every policy for the admission over a fleet offers an experiment."""

import random
from collections.abc import Collection

from bench.admission_network import Network
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.registry import Registry

ADMISSIONS: Registry[type['FleetAdmission']] = Registry('admission policy')


class FleetAdmission:
    """One policy for a whole fleet, driven by simulated time in seconds."""

    def __init__(
        self,
        seats: tuple[str, ...],
        region_of: dict[str, str],
        limits: dict[str, AccountLimit],
        rng: random.Random,
    ) -> None:
        """Start all seats at time zero."""
        self.seats = seats
        self.limits = limits
        self.rng = rng
        self.network = Network(region_of, rng)
        self.platform_up = True
        self.frozen: set[str] = set()

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Tell whether the seat admits a request of the account."""
        raise NotImplementedError

    def advance(self, now: float) -> None:
        """Let time pass; call it every 10 ms."""

    def cut(self, group_a: Collection[str], group_b: Collection[str]) -> None:
        """Cut two groups of seats; 'platform' may be a member."""
        self.network.cut(group_a, group_b)

    def heal(self) -> None:
        """End all cuts."""
        self.network.heal()

    def set_platform(self, up: bool) -> None:
        """Start or end an outage of the platform."""
        self.platform_up = up

    def restart(self, seat: str, now: float) -> None:
        """Replace the VM at the seat by a new one at once, as in a crash."""

    def freeze(self, seat: str, now: float) -> None:
        """Pause the VM at the seat."""
        self.frozen.add(seat)

    def thaw(self, seat: str, now: float) -> None:
        """Let the VM at the seat run on."""
        self.frozen.discard(seat)
