"""Count what answers that callers have cached can still send."""

import math

import attrs

from chestnutshift.invariants.registry import SHIFT_CAP, verify
from chestnutshift.lookup.answers import LookupAnswer

EXPIRY_STEP_S = 1.0
# A caller starts to count a lifetime when the answer has reached it.
DELIVERY_MAX_S = 2.0


@attrs.define
class ExpiryCounts:
    """Answers by the second in which they expire."""

    _counts: dict[int, int] = attrs.field(factory=dict)

    def add(self, expires_at: float, count: int = 1) -> None:
        """Count answers that callers may use until expires_at, seconds."""
        second = math.ceil(expires_at / EXPIRY_STEP_S)
        self._counts[second] = self._counts.get(second, 0) + count

    def count_unexpired(self, now: float) -> int:
        """Return how many answers may still be in use."""
        self._remove_expired(now)
        return sum(self._counts.values())

    def last_expiry(self, now: float) -> float:
        """Return when the last of them expires, now if there is none."""
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
    """What one shift may send: its cap, and what one answer stands for.

    Both are requests per second; cap_rate is this VM's part of the cap.
    """

    cap_rate: float
    answer_rate: float

    def answers_max(self) -> int:
        """Return how many moved answers may be in use at once."""
        if self.answer_rate <= 0:
            return 0
        return max(0, math.floor(self.cap_rate / self.answer_rate))


def movable_answers(budget: MoveBudget, outstanding: int) -> int:
    """Return how many answers may be moved now, with outstanding in use."""
    return max(0, budget.answers_max() - outstanding)


def movable_fraction(budget: MoveBudget, home_answers: int) -> float:
    """Return the fraction of a region's callers that fits under the cap.

    home_answers counts the answers in use of callers of that region.
    """
    if not home_answers:
        return 1.0
    return min(1.0, budget.answers_max() / home_answers)


@attrs.define
class OutstandingAnswers:
    """Answers that one VM has handed out and that may still be in use.

    A process that has just started does not know what the one before it
    handed out: until started_at plus lifetime_max_s, nothing is empty.
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
        """Count an answer that goes out to a caller."""
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
        """Return when no answer in use names the VM any more."""
        return self._last_expiry(self._vms, vm, now)

    def region_last_expiry(self, region: str, now: float) -> float:
        """Return when no answer in use names a VM of the region."""
        return self._last_expiry(self._regions, region, now)

    def count_naming(self, vm: str, now: float) -> int:
        """Return how many answers in use name the VM."""
        return _counts_for(self._vms, vm).count_unexpired(now)

    def count_home(self, region: str, now: float) -> int:
        """Return how many answers in use are of the region's own callers."""
        return _counts_for(self._homes, region).count_unexpired(now)

    def count_moved(self, source: str, target: str, now: float) -> int:
        """Return how many answers in use send source's callers to target."""
        return _counts_for(self._moves, (source, target)).count_unexpired(now)

    def verify_move(
        self,
        source: str,
        target: str,
        budget: MoveBudget,
        now: float,
    ) -> bool:
        """Assert that the moved answers in use stay under the cap."""
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
        known_from = self.started_at + self.lifetime_max_s + DELIVERY_MAX_S
        return max(now, known_from, _counts_for(counts, name).last_expiry(now))


def _counts_for(counts_by_name: dict, name: object) -> ExpiryCounts:
    found = counts_by_name.get(name)
    if found is None:
        found = ExpiryCounts()
        counts_by_name[name] = found
    return found
