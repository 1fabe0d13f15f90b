"""What the store lists decides which upstreams get requests."""

import attrs

from chestnutshift.steering.upstreams import Condition
from tests.steering.world import NOW, SERVICE, make_directory, register


def test_late_registration_revives_nothing() -> None:
    """Heartbeats may be written late, after the upstream began to leave."""
    directory = make_directory()
    upstream = register(directory, 'u1', sequence=7, is_leaving=True)
    register(directory, 'u1', sequence=6)
    assert upstream.condition is Condition.LEAVING
    assert not directory.is_usable(upstream)


def test_late_registration_of_one_that_is_gone() -> None:
    """A heartbeat written after the removal names no upstream."""
    directory = make_directory()
    register(directory, 'u1', sequence=7)
    directory.unregister(('u1',), NOW)
    assert register(directory, 'u1', sequence=6) is None
    assert directory.find('u1') is None
    assert register(directory, 'u1', sequence=8) is not None


def test_a_new_start_counts_afresh() -> None:
    """The same id with another start is another upstream."""
    directory = make_directory()
    before = register(directory, 'u1', sequence=7, is_leaving=True)
    after = register(directory, 'u1', sequence=1, started_at_ms=2)
    assert before.condition is Condition.GONE
    assert directory.is_usable(after)
    assert list(directory.of_service(SERVICE)) == [after]


def test_other_service_is_another_upstream() -> None:
    """An id that turns up with another service has lost its past."""
    directory = make_directory()
    before = register(directory, 'u1')
    after = register(directory, 'u1', service='reports', sequence=2)
    assert after is not before
    assert list(directory.of_service(SERVICE)) == []


def test_removal_is_believed_at_once() -> None:
    """An upstream that leaves without a word is gone with its entry."""
    directory = make_directory()
    upstream = register(directory, 'u1')
    assert directory.unregister(('u1',), NOW) == ['u1']
    assert not directory.is_usable(upstream)


def test_lapsed_entries_get_time_to_return() -> None:
    """After an outage a missing entry counts as gone only after a while."""
    directory = make_directory()
    kept = register(directory, 'kept')
    lost = register(directory, 'lost')
    directory.expect_lapses(NOW + 2)
    directory.keep_only((), NOW + 1)
    assert directory.is_usable(kept)
    register(directory, 'kept', sequence=2)
    assert directory.expire(NOW + 1.9) == []
    assert directory.expire(NOW + 2) == ['lost']
    assert directory.is_usable(kept)
    assert not directory.is_usable(lost)


def test_one_missing_of_many_is_gone_at_once() -> None:
    """A VM that was cut off alone must not use what left meanwhile."""
    directory = make_directory()
    names = [f'u{number}' for number in range(6)]
    for name in names:
        register(directory, name)
    left = directory.find('u0')
    directory.expect_lapses(NOW + 2)
    directory.keep_only(names[1:], NOW)
    assert not directory.is_usable(left)


def test_evacuated_upstreams_come_back_cold() -> None:
    """They may have been idle for the whole evacuation."""
    directory = make_directory()
    upstream = register(directory, 'u1')
    directory.evacuate(frozenset(('a1',)), {SERVICE: 3}, NOW)
    assert not directory.is_usable(upstream)
    directory.evacuate(frozenset(), {SERVICE: 3}, NOW + 9)
    assert directory.is_usable(upstream)
    assert upstream.is_cold(NOW + 11.9)
    assert not upstream.is_cold(NOW + 12)


def test_cold_time_never_shrinks_by_an_older_word() -> None:
    """The longest known cold time holds."""
    directory = make_directory()
    upstream = register(directory, 'u1', cold_for_s=3.0)
    registration = attrs.evolve(
        upstream.registration, cold_for_s=1.0, sequence=2
    )
    directory.register(registration, NOW)
    assert upstream.is_cold(NOW + 2.9)
