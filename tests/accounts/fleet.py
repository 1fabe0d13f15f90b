"""A simulated fleet of VMs with real admission control and faults."""

import random
from collections import defaultdict
from collections.abc import Callable

import attrs

from bench.admission import Escrow
from bench.admission_cases import REGION_OF, SEATS
from bench.admission_platform import run_without_waiting
from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.seat_manager import SeatManager
from chestnutshift.configuration.model import AccountLimit, SharesPreset

LIMITS = {
    'large': AccountLimit(120, 90),
    'small': AccountLimit(12, 30),
}
TICK_S = 0.02
FAULT_FREE_TICKS = 150
TOLERANCE = 1e-6


@attrs.define
class PausedVm:
    """A VM that was paused and replaced, and resumes later."""

    seat: str
    admission: Admission
    seat_manager: SeatManager
    resumes_at: float
    renews: bool = True


class FaultyFleet(Escrow):
    """The escrow policy with an unreliable network and short leases."""

    shares = SharesPreset(lease_s=2, floor_s=15, loan_s=1)
    lost_answer_rate = 0.1
    list_lag_s = 0.3
    renew_s = 0.5

    def __init__(self, seed: int) -> None:
        """Start the fleet; the seed determines every fault."""
        self.faults = random.Random(seed)
        self.paused_vms: list[PausedVm] = []
        super().__init__(SEATS, REGION_OF, LIMITS, random.Random(seed))
        self.network.loss = 0.1
        self.network.duplication = 0.1
        self.network.extra_delay_s = 1.5
        self.admitted: dict[str, list[float]] = defaultdict(list)
        # The largest fraction of a limit that all VMs held at one time.
        self.held_fraction = 0
        # Requests of each account to each lightly loaded seat in one tick.
        self.idle_requests = 1

    def run(
        self,
        duration_s: float,
        inject_fault: Callable[[float], None] | None = None,
    ) -> None:
        """Run under overload, most of it at two seats at a time.

        Every half second a random fault is injected, or inject_fault is
        called instead. The run stops as soon as the VMs together hold more
        than the rate or burst of an account.
        """
        busy_seats = SEATS[:2]
        for tick in range(int(duration_s / TICK_S)):
            now = tick * TICK_S
            if tick > FAULT_FREE_TICKS and tick % 25 == 0:
                (inject_fault or self._inject_random_fault)(now)
                busy_seats = self.faults.sample(SEATS, 2)
            self.advance(now)
            self._run_resumed(now)
            self._send_load(busy_seats, now)
            self._update_held_fraction(now)
            if self.held_fraction - TOLERANCE > 1:
                return

    def replace(self, seat: str, now: float, pause_s: float) -> None:
        """Pause the VM for pause_s and start another one at its seat."""
        resumes_at = now + pause_s
        self.paused_vms.append(
            PausedVm(
                seat, self.vms[seat], self.seat_managers[seat], resumes_at
            ),
        )
        self.restart(seat, now)

    def renew(self, seat_manager: SeatManager, admission: Admission) -> None:
        """Renew the seat; tell the VMs of its failure domain of a success."""
        super().renew(seat_manager, admission)
        if seat_manager.lease.started < self.now:
            return
        domain = seat_manager.seat[:-2]
        for seat, neighbour in self.vms.items():
            if seat.startswith(domain) and seat not in self.suspended:
                neighbour.record_neighbour_renewal(self.now)
        for paused in self.paused_vms:
            if paused.seat.startswith(domain) and paused.resumes_at <= self.now:
                paused.admission.record_neighbour_renewal(self.now)

    def stop_vm(self, seat: str, now: float) -> None:
        """Stop the VM gracefully and start another one at its seat."""
        settle_s = self.vms[seat].stop_spending(now)
        run_without_waiting(self.seat_managers[seat].release(settle_s))
        self.restart(seat, now)

    def send_requests(
        self, admission: Admission, now: float, count: int = 3
    ) -> None:
        """Send count requests of each account to one VM."""
        for account in LIMITS:
            for _ in range(count):
                if admission.admit(account, now).admitted:
                    self.admitted[account].append(now)

    def _inject_random_fault(self, now: float) -> None:
        seat = self.faults.choice(SEATS)
        pause_s = self.faults.uniform(0, 8)
        group = set(self.faults.sample(SEATS, 6))
        faults = (
            lambda: self.cut(group, (*(set(SEATS) - group), 'platform')),
            self.heal,
            self.heal,
            lambda: self.set_platform(up=False),
            lambda: self.suspend(seat, now),
            lambda: self.resume(seat, now),
            self.suspended.clear,
            lambda: self.restart(seat, now),
            lambda: self.replace(seat, now, pause_s),
            lambda: self.replace(seat, now, pause_s),
            lambda: self.stop_vm(seat, now),
            lambda: self.stop_vm(seat, now),
        )
        if self.faults.choice((True, False)):
            self.set_platform(up=True)
        self.faults.choice(faults)()

    def _run_resumed(self, now: float) -> None:
        for paused in self.paused_vms:
            if paused.resumes_at > now:
                continue
            self.send_requests(paused.admission, now)
            paused.admission.plan(now)
            if paused.renews and self.faults.random() < TICK_S / 2:
                self.renew(paused.seat_manager, paused.admission)
            self.send_requests(paused.admission, now)

    def _send_load(self, busy_seats: list[str], now: float) -> None:
        for seat in SEATS:
            if seat in self.suspended and self.faults.randrange(20):
                continue
            count = 5 if seat in busy_seats else self.idle_requests
            self.send_requests(self.vms[seat], now, count)

    def _update_held_fraction(self, now: float) -> None:
        rates: dict[str, float] = defaultdict(float)
        bursts: dict[str, float] = defaultdict(float)
        resumed = [
            paused.admission
            for paused in self.paused_vms
            if paused.resumes_at <= now
        ]
        for admission in (*self.vms.values(), *resumed):
            for state in admission.summary(now):
                rates[state.account] += state.rate
                bursts[state.account] += state.capacity
        for account, limit in LIMITS.items():
            self.held_fraction = max(
                self.held_fraction,
                rates[account] / limit.rate,
                bursts[account] / limit.burst,
            )


def max_excess(moments: list[float], limit: AccountLimit) -> float:
    """Return the largest of admitted - burst - rate * length of any window.

    A result above zero means that a window exceeded the account's limit.
    """
    lowest = float('inf')
    worst = -limit.burst
    for index, moment in enumerate(sorted(moments)):
        start = index - limit.rate * moment
        lowest = min(lowest, start)
        worst = max(worst, start + 1 - lowest - limit.burst)
    return worst
