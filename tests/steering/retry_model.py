"""A model of the fleet's repeats, judged by arrivals in each window."""

import random
from bisect import bisect_left

import attrs

from chestnutshift.steering.retry_budget import FleetRetryBudget, RetryBounds

SERVICE = 's1'
VM_COUNT = 12
BOUNDS = RetryBounds(window_s=10, ratio=0.2, slack=64)
PLAYED_S = 60


@attrs.define
class RetryModel:
    """VMs that repeat each request as often as their budgets allow.

    Times are seconds. now is the model's time, repeats and requests are when
    they were sent, by any VM.
    """

    now: float = 0
    vm_count: int = VM_COUNT
    requests: list[float] = attrs.field(factory=list)
    repeats: list[float] = attrs.field(factory=list)
    budgets: list[FleetRetryBudget] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the VMs."""
        self.budgets = [FleetRetryBudget(BOUNDS) for _ in range(VM_COUNT)]

    def restart(self, vm: int) -> None:
        """Start a VM anew; it has forgotten what it sent."""
        self.budgets[vm] = FleetRetryBudget(BOUNDS)

    def serve(self, vm: int, attempts: int = 3) -> None:
        """Have a VM serve a request of which every attempt fails."""
        budget = self.budgets[vm]
        budget.record_vms(self.vm_count, self.now)
        self.requests.append(self.now)
        budget.count_request(SERVICE, self.now)
        for _ in range(attempts - 1):
            if budget.take(SERVICE, self.now):
                self.repeats.append(self.now)

    def most_over(self) -> float:
        """Return by how many repeats the worst window is over the budget.

        The requests are those of the window, of the one before it or of the
        one half a window before it, whichever has most.
        """
        return max(
            self._count(self.repeats, start) - self._allowed(start)
            for start in self.repeats
        )

    def _allowed(self, start: float) -> float:
        window_s = BOUNDS.window_s
        starts = (start, start - window_s / 2, start - window_s)
        most = max(self._count(self.requests, start) for start in starts)
        return BOUNDS.ratio * most + BOUNDS.slack

    def _count(self, times: list[float], start: float) -> int:
        end = start + BOUNDS.window_s
        return bisect_left(times, end) - bisect_left(times, start)


def play_restarts(seed: int, restarts: int, rate: float) -> RetryModel:
    """Play a minute in which each VM restarts so often in a window.

    rate is the requests per second of all VMs together.
    """
    rng = random.Random(seed)
    model = RetryModel()
    step_s = 1 / rate
    while model.now < PLAYED_S:
        model.now += step_s
        if rng.random() < restarts * VM_COUNT / BOUNDS.window_s * step_s:
            model.restart(rng.randrange(VM_COUNT))
        model.serve(rng.randrange(VM_COUNT))
    return model


def play_move(seed: int, left: int, after_s: float, rate: float) -> RetryModel:
    """Play callers that move to VMs that are left, after_s into failures."""
    rng = random.Random(seed)
    model = RetryModel()
    fails_from = PLAYED_S / 2
    while model.now < PLAYED_S:
        model.now += 1 / rate
        has_moved = model.now >= fails_from + after_s
        vm = rng.randrange(left if has_moved else VM_COUNT)
        model.serve(vm, attempts=3 if model.now >= fails_from else 1)
    return model
