"""Cold upstreams have fewer usable slots, and new connections are paced."""

from chestnutshift.configuration.model import UpstreamsPreset
from chestnutshift.upstreams.warmup import (
    FRACTION_MIN,
    IDLE_COLD_S,
    ConnectionPacer,
    WarmUp,
)


def work_until(warm_up: WarmUp, seconds: int) -> None:
    """Record ten answers a second from time 0 on."""
    for tick in range(seconds * 10 + 1):
        warm_up.record_work(tick / 10)


def test_unknown_upstream_is_warm():
    """A VM that has just started treats running upstreams as warm."""
    assert WarmUp(20).fraction(0) == 1


def test_restarted_upstream_ramps_up():
    """The usable fraction of slots grows with the time that has work."""
    warm_up = WarmUp(20)
    warm_up.restart(0)
    assert warm_up.fraction(0) == FRACTION_MIN
    work_until(warm_up, 10)
    half_way = (FRACTION_MIN + 1) / 2
    assert round(100 * warm_up.fraction(10)) == round(100 * half_way)
    work_until(warm_up, 20)
    assert warm_up.fraction(20) == 1


def test_idle_time_does_not_warm_up():
    """An upstream that is idle after its start stays cold."""
    warm_up = WarmUp(20)
    warm_up.restart(0)
    warm_up.record_work(100)
    one_second = FRACTION_MIN + (1 - FRACTION_MIN) / 20
    assert round(100 * warm_up.fraction(100)) == round(100 * one_second)


def test_long_idle_is_cold():
    """After a long time without work a warm upstream is cold again."""
    warm_up = WarmUp(20)
    warm_up.record_work(0)
    assert warm_up.fraction(1) == 1
    assert warm_up.fraction(IDLE_COLD_S) == FRACTION_MIN
    warm_up.record_work(IDLE_COLD_S)
    assert warm_up.fraction(IDLE_COLD_S + 1) == FRACTION_MIN


def test_connections_are_paced():
    """Each of two VMs waits twice the interval between its connections."""
    pacer = ConnectionPacer(UpstreamsPreset(connection_pace_s=1), 2)
    starts = [pacer.reserve(10) for _ in range(3)]
    assert starts == [10, 12, 14]


def test_connections_are_limited():
    """Two VMs together have at most the limit open."""
    pacer = ConnectionPacer(UpstreamsPreset(connections_max=4), 2)
    assert [pacer.reserve(0) is None for _ in range(3)] == [False, False, True]
    pacer.release()
    assert pacer.reserve(0) is not None
