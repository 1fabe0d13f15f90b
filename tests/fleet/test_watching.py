"""Few VMs of a large fleet ask the store often, and none falls behind."""

from chestnutshift.fleet.watching import (
    CATCH_UP_DELAY_S,
    CATCH_UP_INTERVAL_MIN_S,
    WATCHER_COUNT,
    News,
    is_proof_due,
    is_watcher,
)

NOW = 1000.0
FLEET = tuple(f'vm-{number}' for number in range(78))


def watchers(fleet: tuple[str, ...]) -> list[str]:
    """Return the VMs that ask often where all hear each other."""
    return [
        vm
        for vm in fleet
        if is_watcher(vm, [peer for peer in fleet if peer != vm])
    ]


def test_few_of_many_watch() -> None:
    """Pattern: a calm day of 78 VMs, priced by calls to the store."""
    assert len(watchers(FLEET)) == WATCHER_COUNT


def test_all_of_a_few_watch() -> None:
    """A small fleet gains nothing by passing proofs on."""
    assert len(watchers(FLEET[:12])) == 12


def test_lost_watchers_are_replaced() -> None:
    """Pattern: every VM that watches is lost at the same moment."""
    lost = watchers(FLEET)
    left = tuple(vm for vm in FLEET if vm not in lost)
    assert len(watchers(left)) == WATCHER_COUNT


def test_missed_change_is_asked_for() -> None:
    """Pattern: the answer that held an upstream's removal was lost."""
    news = News()
    news.learn(changed_at=5, known_until=8)
    news.hear(9, NOW)
    assert not news.is_due(NOW + CATCH_UP_DELAY_S / 2)
    assert news.is_due(NOW + CATCH_UP_DELAY_S + 0.1)
    assert not news.is_due(NOW + CATCH_UP_DELAY_S + 0.2)
    news.learn(changed_at=9, known_until=9)
    assert not news.is_due(NOW + CATCH_UP_DELAY_S + 2 * CATCH_UP_INTERVAL_MIN_S)


def test_what_a_whole_read_left_out_is_known() -> None:
    """A removal is no row; the answer's own version covers it."""
    news = News()
    news.learn(changed_at=5, known_until=20)
    news.hear(19, NOW)
    assert not news.is_due(NOW + 10)


def test_old_proof_is_asked_for() -> None:
    """Pattern: the VMs that ask often can't reach the store or this VM."""
    assert is_proof_due(3.5, bound_s=5)
    assert not is_proof_due(3, bound_s=5)
    assert News().is_due(NOW, is_proof_due=True)
