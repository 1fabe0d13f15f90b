"""The store's registrations determine which upstreams are usable."""

import attrs

from chestnutshift.steering.upstreams import Condition
from tests.steering.factories import NOW, SERVICE, make_directory, register


def test_stale_registration_does_not_undo_leaving() -> None:
    """A registration may be written late, after the upstream began to leave."""
    directory = make_directory()
    upstream = register(directory, 'u1', sequence=7, is_leaving=True)
    register(directory, 'u1', sequence=6)
    assert upstream.condition is Condition.LEAVING
    assert not directory.is_usable(upstream)


def test_stale_registration_of_a_removed_upstream() -> None:
    """A registration written after the removal does not add the upstream."""
    directory = make_directory()
    register(directory, 'u1', sequence=7)
    directory.unregister(('u1',), NOW)
    assert register(directory, 'u1', sequence=6) is None
    assert directory.find('u1') is None
    assert register(directory, 'u1', sequence=8) is not None


def test_restart_replaces_the_upstream() -> None:
    """The same id with another start time is another upstream."""
    directory = make_directory()
    before = register(directory, 'u1', sequence=7, is_leaving=True)
    after = register(directory, 'u1', sequence=1, started_at_ms=2)
    assert before.condition is Condition.GONE
    assert directory.is_usable(after)
    assert list(directory.of_service(SERVICE)) == [after]


def test_changed_service_replaces_the_upstream() -> None:
    """An id that is registered for another service starts without state."""
    directory = make_directory()
    before = register(directory, 'u1')
    after = register(directory, 'u1', service='reports', sequence=2)
    assert after is not before
    assert list(directory.of_service(SERVICE)) == []


def test_removal_applies_at_once() -> None:
    """An upstream is removed if its registration lapses without draining."""
    directory = make_directory()
    upstream = register(directory, 'u1')
    assert directory.unregister(('u1',), NOW) == ['u1']
    assert not directory.is_usable(upstream)


def test_mass_removal_after_an_outage_is_deferred() -> None:
    """Registrations that lapsed in a store outage get time to be renewed."""
    directory = make_directory()
    kept = register(directory, 'kept')
    lost = register(directory, 'lost')
    directory.defer_removals(NOW + 2)
    directory.keep_only((), NOW + 1)
    assert directory.is_usable(kept)
    register(directory, 'kept', sequence=2)
    assert directory.expire(NOW + 1.9) == []
    assert directory.expire(NOW + 2) == ['lost']
    assert directory.is_usable(kept)
    assert not directory.is_usable(lost)


def test_single_removal_after_an_outage_applies() -> None:
    """A VM that alone was cut off must not use upstreams that left."""
    directory = make_directory()
    names = [f'u{number}' for number in range(6)]
    for name in names:
        register(directory, name)
    unlisted = directory.find('u0')
    directory.defer_removals(NOW + 2)
    directory.keep_only(names[1:], NOW)
    assert not directory.is_usable(unlisted)


def test_evacuated_upstreams_come_back_cold() -> None:
    """Upstreams may have been idle for the whole evacuation."""
    directory = make_directory()
    upstream = register(directory, 'u1')
    directory.evacuate(frozenset(('a1',)), {SERVICE: 3}, NOW)
    assert not directory.is_usable(upstream)
    directory.evacuate(frozenset(), {SERVICE: 3}, NOW + 9)
    assert directory.is_usable(upstream)
    assert upstream.is_cold(NOW + 11.9)
    assert not upstream.is_cold(NOW + 12)


def test_registration_never_shortens_cold_time() -> None:
    """The longest known cold time applies."""
    directory = make_directory()
    upstream = register(directory, 'u1', cold_for_s=3.0)
    registration = attrs.evolve(
        upstream.registration, cold_for_s=1.0, sequence=2
    )
    directory.register(registration, NOW)
    assert upstream.is_cold(NOW + 2.9)


# Guards against a flood of an upstream that just started again: the row of
# its earlier run, from an older copy of the store, replaced it.
def test_row_of_an_earlier_run_in_a_copy() -> None:
    """Rows of a copy apply only if they are newer than the known ones."""
    directory = make_directory()
    register(directory, 'u1', started_at_ms=5, sequence=9)
    known = register(directory, 'u1', started_at_ms=7, cold_for_s=3.0)
    row = attrs.evolve(known.registration, started_at_ms=5, sequence=9)
    assert directory.register(row, NOW, is_copy=True) is known
    assert known.is_cold(NOW)
    newer = attrs.evolve(known.registration, sequence=2, is_leaving=True)
    directory.register(newer, NOW, is_copy=True)
    assert known.condition is Condition.LEAVING
    directory.unregister(('u1',), NOW)
    assert directory.register(newer, NOW, is_copy=True) is None


# Guards against a flood of an upstream whose row was lost for a moment: the
# one that was listed again counted as a new, warm one.
def test_relisted_upstream_stays_cold() -> None:
    """The same run is as cold as before its removal, another run is not."""
    directory = make_directory()
    upstream = register(directory, 'u1', cold_for_s=3.0)
    directory.unregister(('u1',), NOW)
    again = register(directory, 'u1', sequence=2)
    assert again.is_cold(NOW)
    assert directory.is_usable(upstream)
    directory.unregister(('u1',), NOW)
    other = register(directory, 'u1', started_at_ms=2)
    assert not other.is_cold(NOW)


def test_upstream_that_a_copy_lacks_gets_time() -> None:
    """An upstream that registers again in time is never removed."""
    directory = make_directory()
    register(directory, 'u1')
    register(directory, 'u2')
    directory.keep_only((), NOW, grace_s=2)
    register(directory, 'u1', sequence=2)
    assert directory.expire(NOW + 1.9) == []
    assert directory.expire(NOW + 2) == ['u2']
    assert directory.find('u1')


# Guards against relief and prices for a service that seems half idle while
# most of its upstreams accept hardly any requests.
def test_limited_upstreams_offer_no_free_slots() -> None:
    """Only the slots of the others count as free."""
    directory = make_directory()
    limited = register(directory, 'u1')
    other = register(directory, 'u2')
    limited.in_flight = 1
    other.in_flight = 3
    assert directory.utilization(SERVICE, NOW) * 4 < 3
    limited.record_rate_limit(1, NOW)
    assert directory.utilization(SERVICE, NOW) >= 1
