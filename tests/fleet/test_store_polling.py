"""Few VMs of a large fleet poll the store often, and none falls behind."""

from chestnutshift.fleet.store_polling import (
    CATCH_UP_DELAY_S,
    CATCH_UP_INTERVAL_MIN_S,
    WATCHER_COUNT,
    ChangeTracker,
    StorePosition,
    is_proof_due,
    is_watcher,
)

NOW = 1000.0
FLEET = tuple(f'vm-{number}' for number in range(78))


def at(version: int, era: int = 1) -> StorePosition:
    """Return a position of the store, of its first era by default."""
    return StorePosition(era, version)


def watchers(fleet: tuple[str, ...]) -> list[str]:
    """Return the watchers of a fleet in which all VMs are live."""
    return [
        vm
        for vm in fleet
        if is_watcher(vm, [peer for peer in fleet if peer != vm])
    ]


def test_large_fleet_has_few_watchers() -> None:
    """In a fleet of 78 VMs, calls to the store stay few."""
    assert len(watchers(FLEET)) == WATCHER_COUNT


def test_all_vms_of_a_small_fleet_are_watchers() -> None:
    """A small fleet gains nothing by passing proofs on."""
    assert len(watchers(FLEET[:12])) == 12


def test_lost_watchers_are_replaced() -> None:
    """If all watchers are lost at once, other VMs take their place."""
    lost = watchers(FLEET)
    remaining = tuple(vm for vm in FLEET if vm not in lost)
    assert len(watchers(remaining)) == WATCHER_COUNT


def test_missed_change_triggers_a_poll() -> None:
    """Peers' heartbeats reveal a removal whose answer was lost."""
    tracker = ChangeTracker()
    tracker.record_answer(at(5), known_until=at(8))
    tracker.record_peers(at(9), NOW)
    assert not tracker.is_due(NOW + CATCH_UP_DELAY_S / 2)
    assert tracker.is_due(NOW + CATCH_UP_DELAY_S + 0.1)
    assert not tracker.is_due(NOW + CATCH_UP_DELAY_S + 0.2)
    tracker.record_answer(at(9), known_until=at(9))
    assert not tracker.is_due(
        NOW + CATCH_UP_DELAY_S + 2 * CATCH_UP_INTERVAL_MIN_S
    )


def test_full_read_covers_removals() -> None:
    """A full read has no row for a removal; its own version covers it."""
    tracker = ChangeTracker()
    tracker.record_answer(at(5), known_until=at(20))
    tracker.record_peers(at(19), NOW)
    assert not tracker.is_due(NOW + 10)


# Guards against a VM that misses a return of the store: its versions were
# higher, and no peer's news counted as newer.
def test_news_of_a_later_era_is_newer() -> None:
    """Versions are given out again after the store returned from a copy."""
    tracker = ChangeTracker()
    tracker.record_answer(at(90), known_until=at(95))
    tracker.record_peers(at(80, era=2), NOW)
    assert tracker.is_due(NOW + CATCH_UP_DELAY_S + 0.1)
    tracker.record_answer(at(80, era=2), known_until=at(82, era=2))
    assert tracker.changed_at == at(80, era=2)
    tracker.record_peers(at(95), NOW)
    assert not tracker.is_due(NOW + 10)


def test_old_proof_triggers_a_poll() -> None:
    """A VM polls itself if the watchers can't reach the store or this VM."""
    assert is_proof_due(3.5, bound_s=5)
    assert not is_proof_due(3, bound_s=5)
    assert ChangeTracker().is_due(NOW, is_proof_due=True)
