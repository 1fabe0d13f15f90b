"""The base class and the registry of admission policies for a fleet."""

import random
from collections.abc import Collection

from bench.admission_network import Network
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.registry import Registry

ADMISSIONS: Registry[type['FleetAdmission']] = Registry('admission policy')


class FleetAdmission:
    """A fleet under one admission policy, in simulated time (seconds)."""

    def __init__(
        self,
        seats: tuple[str, ...],
        region_of: dict[str, str],
        limits: dict[str, AccountLimit],
        rng: random.Random,
    ) -> None:
        """Create the fleet with one VM at each seat, at time zero."""
        self.seats = seats
        self.limits = limits
        self.rng = rng
        self.network = Network(region_of, rng)
        self.platform_up = True
        self.suspended: set[str] = set()

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Return whether the seat admits a request of the account."""
        raise NotImplementedError

    def advance(self, now: float) -> None:
        """Advance the fleet to a time; to be called every 10 ms."""

    def cut(self, group_a: Collection[str], group_b: Collection[str]) -> None:
        """Cut two groups of seats off from each other.

        'platform' may be a member of a group.
        """
        self.network.cut(group_a, group_b)

    def heal(self) -> None:
        """End all cuts."""
        self.network.heal()

    def set_platform(self, up: bool) -> None:
        """Start or end an outage of the platform."""
        self.platform_up = up

    def restart(self, seat: str, now: float) -> None:
        """Replace the VM at the seat at once, as after a crash."""

    def suspend(self, seat: str, now: float) -> None:
        """Pause the VM at the seat."""
        self.suspended.add(seat)

    def resume(self, seat: str, now: float) -> None:
        """Resume the paused VM at the seat."""
        self.suspended.discard(seat)
