"""A whole fleet of the product's admissions under random faults."""

import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from bench.admission import Escrow
from bench.admission_cases import REGION_OF, SEATS
from bench.admission_platform import finish
from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.keeper import SeatKeeper
from chestnutshift.configuration.model import AccountLimit, SharesPreset

LIMITS = {
    'large': AccountLimit(120, 90),
    'small': AccountLimit(12, 30),
}
TICK_S = 0.02
CALM_TICKS = 150
TOLERANCE = 1e-6


@attrs.define
class Zombie:
    """A VM that was paused and replaced, and may wake."""

    seat: str
    admission: Admission
    keeper: SeatKeeper
    wakes: float
    renews: bool = True


class FaultyFleet(Escrow):
    """Escrow over a bad network, with short leases and lost answers."""

    shares = SharesPreset(lease_s=2, floor_s=15, loan_s=1)
    lost_answers = 0.1
    list_lag_s = 0.3
    renew_s = 0.5

    def __init__(self, seed: int) -> None:
        """Start the fleet; every fault follows from the seed."""
        self.faults = random.Random(seed)
        self.zombies: list[Zombie] = []
        super().__init__(SEATS, REGION_OF, LIMITS, random.Random(seed))
        self.network.loss = 0.1
        self.network.copies = 0.1
        self.network.extra_delay_s = 1.5
        self.admitted: dict[str, list[float]] = defaultdict(list)
        # The largest parts of rate and burst that VMs held at one moment.
        self.held_part = 0
        # Requests that each seat without much load gets in a tick.
        self.cold_tries = 1

    def run(
        self,
        duration_s: float,
        disturb: Callable[[float], None] | None = None,
    ) -> None:
        """Run with far too much load, mostly at two seats at a time.

        disturb is called every half second instead of random faults. Stops
        as soon as the VMs hold more than the whole rate or burst.
        """
        hot = SEATS[:2]
        for tick in range(int(duration_s / TICK_S)):
            now = tick * TICK_S
            if tick > CALM_TICKS and tick % 25 == 0:
                (disturb or self._disturb)(now)
                hot = self.faults.sample(SEATS, 2)
            self.advance(now)
            self._wake(now)
            self._load(hot, now)
            self._add_up(now)
            if self.held_part - TOLERANCE > 1:
                return

    def replace(self, seat: str, now: float, pause_s: float) -> None:
        """Pause the VM for a while and start another one at its seat."""
        wakes = now + pause_s
        self.zombies.append(
            Zombie(seat, self.vms[seat], self.keepers[seat], wakes),
        )
        self.restart(seat, now)

    def renew(self, keeper: SeatKeeper, admission: Admission) -> None:
        """Renew; the VMs of the failure domain hear of a success."""
        super().renew(keeper, admission)
        if keeper.right.started < self.now:
            return
        domain = keeper.seat[:-2]
        for seat, neighbour in self.vms.items():
            if seat.startswith(domain) and seat not in self.frozen:
                neighbour.note_neighbour_renewal(self.now)
        for zombie in self.zombies:
            if zombie.seat.startswith(domain) and zombie.wakes <= self.now:
                zombie.admission.note_neighbour_renewal(self.now)

    def leave(self, seat: str, now: float) -> None:
        """Stop the VM gracefully and start another one at its seat."""
        settle_s = self.vms[seat].surrender(now)
        finish(self.keepers[seat].release(settle_s))
        self.restart(seat, now)

    def spend(self, admission: Admission, now: float, tries: int = 3) -> None:
        """Send requests of each account to one VM."""
        for account in LIMITS:
            for _ in range(tries):
                if admission.admit(account, now).admitted:
                    self.admitted[account].append(now)

    def _disturb(self, now: float) -> None:
        seat = self.faults.choice(SEATS)
        pause_s = self.faults.uniform(0, 8)
        half = set(self.faults.sample(SEATS, 6))
        faults = (
            lambda: self.cut(half, (*(set(SEATS) - half), 'platform')),
            self.heal,
            self.heal,
            lambda: self.set_platform(up=False),
            lambda: self.freeze(seat, now),
            lambda: self.thaw(seat, now),
            self.frozen.clear,
            lambda: self.restart(seat, now),
            lambda: self.replace(seat, now, pause_s),
            lambda: self.replace(seat, now, pause_s),
            lambda: self.leave(seat, now),
            lambda: self.leave(seat, now),
        )
        if self.faults.choice((True, False)):
            self.set_platform(up=True)
        self.faults.choice(faults)()

    def _wake(self, now: float) -> None:
        for zombie in self.zombies:
            if zombie.wakes > now:
                continue
            self.spend(zombie.admission, now)
            zombie.admission.plan(now)
            if zombie.renews and self.faults.random() < TICK_S / 2:
                self.renew(zombie.keeper, zombie.admission)
            self.spend(zombie.admission, now)

    def _load(self, hot: list[str], now: float) -> None:
        for seat in SEATS:
            if seat in self.frozen and self.faults.randrange(20):
                continue
            tries = 5 if seat in hot else self.cold_tries
            self.spend(self.vms[seat], now, tries)

    def _add_up(self, now: float) -> None:
        rates: dict[str, float] = defaultdict(float)
        bursts: dict[str, float] = defaultdict(float)
        woken = [one.admission for one in self.zombies if one.wakes <= now]
        for admission in (*self.vms.values(), *woken):
            for state in admission.summary(now):
                rates[state.account] += state.rate
                bursts[state.account] += state.capacity
        for account, limit in LIMITS.items():
            self.held_part = max(
                self.held_part,
                rates[account] / limit.rate,
                bursts[account] / limit.burst,
            )


def worst_excess(moments: list[float], limit: AccountLimit) -> float:
    """Return the largest admitted - burst - rate * length of any window.

    Over zero means that some window got more than the account's limit.
    """
    lowest = float('inf')
    worst = -limit.burst
    for index, moment in enumerate(sorted(moments)):
        start = index - limit.rate * moment
        lowest = min(lowest, start)
        worst = max(worst, start + 1 - lowest - limit.burst)
    return worst
