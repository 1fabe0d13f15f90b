"""Counts of outstanding answers: those that callers may still cache."""

import math

import attrs

from chestnutshift.invariants.registry import SHIFT_CAP, verify
from chestnutshift.lookup.answers import LookupAnswer

EXPIRY_STEP_S = 1.0
# A caller counts the lifetime from the arrival of the answer, which this VM
# expects within this time.
DELIVERY_MAX_S = 2.0


@attrs.define
class ExpiryCounts:
    """Numbers of answers, grouped by the second in which they expire."""

    _counts: dict[int, int] = attrs.field(factory=dict)

    def add(self, expires_at: float, count: int = 1) -> None:
        """Add answers that expire at expires_at, in seconds."""
        second = math.ceil(expires_at / EXPIRY_STEP_S)
        self._counts[second] = self._counts.get(second, 0) + count

    def count_unexpired(self, now: float) -> int:
        """Return the number of answers that have not expired."""
        self._remove_expired(now)
        return sum(self._counts.values())

    def last_expiry(self, now: float) -> float:
        """Return when the last answer expires, or now if there is none."""
        self._remove_expired(now)
        return max(self._counts, default=now / EXPIRY_STEP_S) * EXPIRY_STEP_S

    def _remove_expired(self, now: float) -> None:
        expired = [
            second for second in self._counts if second * EXPIRY_STEP_S <= now
        ]
        for second in expired:
            self._counts.pop(second)


@attrs.frozen
class MoveBudget:
    """The cap of one shift, in terms of outstanding answers.

    cap_rate is this VM's part of the cap, answer_rate the load that one
    outstanding answer is assumed to cause; both in requests per second.
    """

    cap_rate: float
    answer_rate: float

    def answers_max(self) -> int:
        """Return how many moved answers may be outstanding at once."""
        if self.answer_rate <= 0:
            return 0
        return max(0, math.floor(self.cap_rate / self.answer_rate))


def movable_answers(budget: MoveBudget, outstanding: int) -> int:
    """Return how many answers may be moved in addition to outstanding."""
    return max(0, budget.answers_max() - outstanding)


def movable_fraction(budget: MoveBudget, home_answers: int) -> float:
    """Return the fraction of a region's callers that the cap allows to move.

    home_answers is the number of outstanding answers to callers of that
    region.
    """
    if not home_answers:
        return 1.0
    return min(1.0, budget.answers_max() / home_answers)


@attrs.define
class OutstandingAnswers:
    """Answers that one VM has given and that may still be cached.

    A process does not know the answers that its predecessor gave. The last
    expiry is therefore never before started_at plus lifetime_max_s and the
    delivery time.
    """

    started_at: float
    lifetime_max_s: float
    _vms: dict[str, ExpiryCounts] = attrs.field(factory=dict, init=False)
    _regions: dict[str, ExpiryCounts] = attrs.field(factory=dict, init=False)
    _homes: dict[str, ExpiryCounts] = attrs.field(factory=dict, init=False)
    _moves: dict[tuple[str, str], ExpiryCounts] = attrs.field(
        factory=dict,
        init=False,
    )

    def record(self, answer: LookupAnswer) -> None:
        """Count an answer that is sent to a caller."""
        expires_at = answer.expires_at + DELIVERY_MAX_S
        for entry in answer.entries:
            _counts_for(self._vms, entry.name).add(expires_at)
        regions = {named.region for named in answer.entries}
        for region in regions:
            _counts_for(self._regions, region).add(expires_at)
        _counts_for(self._homes, answer.home).add(expires_at)
        if answer.moved:
            move = (answer.home, answer.region)
            _counts_for(self._moves, move).add(expires_at)

    def last_expiry(self, vm: str, now: float) -> float:
        """Return when the last answer that names the VM expires."""
        return self._last_expiry(self._vms, vm, now)

    def region_last_expiry(self, region: str, now: float) -> float:
        """Return when the last answer that names a VM of the region expires."""
        return self._last_expiry(self._regions, region, now)

    def count_naming(self, vm: str, now: float) -> int:
        """Return how many outstanding answers name the VM."""
        return _counts_for(self._vms, vm).count_unexpired(now)

    def count_home(self, region: str, now: float) -> int:
        """Return how many outstanding answers have the region as home."""
        return _counts_for(self._homes, region).count_unexpired(now)

    def count_moved(self, source: str, target: str, now: float) -> int:
        """Count outstanding answers that move source's callers to target."""
        return _counts_for(self._moves, (source, target)).count_unexpired(now)

    def verify_move(
        self,
        source: str,
        target: str,
        budget: MoveBudget,
        now: float,
    ) -> bool:
        """Check the invariant that the moved answers do not exceed the cap."""
        moved = self.count_moved(source, target, now)
        return verify(
            SHIFT_CAP,
            holds=moved <= budget.answers_max(),
            detail=f'{moved} answers from {source} to {target}',
        )

    def _last_expiry(
        self,
        counts: dict[str, ExpiryCounts],
        name: str,
        now: float,
    ) -> float:
        # The latest expiry of an answer that a predecessor may have given.
        predecessor_expiry = (
            self.started_at + self.lifetime_max_s + DELIVERY_MAX_S
        )
        return max(
            now,
            predecessor_expiry,
            _counts_for(counts, name).last_expiry(now),
        )


def _counts_for(counts_by_name: dict, name: object) -> ExpiryCounts:
    counts = counts_by_name.get(name)
    if counts is None:
        counts = ExpiryCounts()
        counts_by_name[name] = counts
    return counts
