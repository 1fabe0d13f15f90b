"""Moves between two regions stay under their cap and ramp up to it."""

import random
from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.configuration.model import ShiftPreset
from chestnutshift.invariants.registry import InvariantViolationError
from chestnutshift.regions.caps import CapShare, LinkCap
from chestnutshift.regions.shift import FRACTION_MIN, ShiftRamp
from tests.enforcement import enforced

VMS = 4
PRESET = ShiftPreset(requests_per_s=200, bytes_per_s=4_000_000, ramp_s=30)
PIECE_B = 65_536


def max_per_second(sent: list[tuple[float, float]]) -> float:
    """Return the largest sum of amounts within any second."""
    return max(
        sum(amount for at, amount in sent if start <= at < start + 1)
        for start, _ in sent
    )


@given(seed=st.integers(0, 2**32))
@settings(derandomize=True, deadline=None, database=None, max_examples=20)
def test_requests_of_all_vms_stay_under_the_cap(seed):
    """However demand arrives at the VMs, no second exceeds the cap."""
    rng = random.Random(seed)
    share = CapShare.of(PRESET, VMS)
    caps = [LinkCap(share, 0) for _ in range(VMS)]
    sent = []
    now = 0
    with enforced():
        while now < 4:
            now += rng.choice((0, 0.001, 0.01, 0.05))
            cap = rng.choice(caps)
            if cap.admits(now):
                cap.record_request(now)
                sent.append((now, 1))
    assert max_per_second(sent) <= PRESET.requests_per_s


def test_the_cap_can_be_used():
    """A VM under constant demand uses its whole share."""
    cap = LinkCap(CapShare.of(PRESET, VMS), 0)
    sent = 0
    for millisecond in range(10_000):
        if cap.admits(millisecond / 1000):
            cap.record_request(millisecond / 1000)
            sent += 1
    assert sent >= 49 * 10


def test_small_share_still_sends():
    """A share below one request per second is counted in a longer window."""
    cap = LinkCap(CapShare(requests_per_s=0.5, bytes_per_s=1), 0)
    sent = []
    for now in range(10):
        if cap.admits(now):
            cap.record_request(now)
            sent.append(now)
    assert sent == [0, 2, 4, 6, 8]


def test_bytes_are_paced():
    """Pieces of bodies wait until the share has room for them."""
    share = CapShare.of(PRESET, VMS)
    cap = LinkCap(share, 0)
    sent = []
    now = 0
    with enforced():
        for _ in range(100):
            now = cap.reserve_bytes(PIECE_B, now)
            cap.record_bytes(PIECE_B, now)
            sent.append((now, PIECE_B))
    assert max_per_second(sent) <= share.bytes_per_s
    assert sum(size for _, size in sent) / now >= share.bytes_per_s * 0.8


def test_idle_time_allows_no_larger_burst():
    """After a long idle time no second exceeds the cap on bytes."""
    share = CapShare.of(PRESET, VMS)
    cap = LinkCap(share, 0)
    now = 60
    with enforced():
        while now < 62:
            now = cap.reserve_bytes(PIECE_B, now)
            cap.record_bytes(PIECE_B, now)


def test_request_beyond_the_cap_is_detected():
    """Sending a request that was not admitted violates the invariant."""
    cap = LinkCap(CapShare(requests_per_s=1, bytes_per_s=1), 0)
    cap.record_request(0)
    assert is_violation(lambda: cap.record_request(0))


def test_bytes_beyond_the_cap_are_detected():
    """Sending bytes before their reserved time violates the invariant."""
    cap = LinkCap(CapShare(requests_per_s=1, bytes_per_s=100), 0)
    cap.record_bytes(100, 0)
    assert is_violation(lambda: cap.record_bytes(1, 0))


def is_violation(action: Callable[[], None]) -> bool:
    """Return whether the action violates an invariant."""
    with enforced():
        try:
            action()
        except InvariantViolationError:
            return True
    return False


def advance(shift: ShiftRamp, start: int, load: float | None) -> None:
    """Advance by ten seconds in steps of one, with constant demand."""
    for second in range(start, start + 11):
        shift.advance(second, load, moving=True)


def test_shift_ramps_up():
    """A third of the ramp time adds a third of the cap."""
    shift = ShiftRamp(PRESET)
    assert shift.fraction == FRACTION_MIN
    advance(shift, 0, 0.5)
    assert round(3 * (shift.fraction - FRACTION_MIN), 2) == 1


def test_shift_pauses_without_measurement():
    """Without a fresh measurement the ramp stands still."""
    shift = ShiftRamp(PRESET)
    advance(shift, 0, 0.5)
    before = shift.fraction
    advance(shift, 10, None)
    assert shift.fraction == before
    assert shift.paused


def test_shift_shrinks_above_the_ceiling():
    """Above its ceiling a target gets a smaller fraction."""
    shift = ShiftRamp(PRESET)
    advance(shift, 0, 0.5)
    before = shift.fraction
    advance(shift, 10, 0.9)
    assert shift.fraction < before
    assert shift.paused


def test_idle_shift_starts_over():
    """Without moves for the ramp time the target is cold again."""
    shift = ShiftRamp(PRESET)
    advance(shift, 0, 0.5)
    for second in range(11, 60):
        shift.advance(second, 0.5, moving=False)
    assert shift.fraction == FRACTION_MIN


def test_long_pause_does_not_advance_the_ramp():
    """A process that was paused must not skip the ramp."""
    shift = ShiftRamp(PRESET)
    shift.advance(0, 0.5, moving=True)
    shift.advance(30, 0.5, moving=True)
    assert shift.fraction < 2 * FRACTION_MIN
