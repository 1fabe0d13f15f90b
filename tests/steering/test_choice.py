"""Where requests go, by the pattern of load that each choice answers."""

import collections
from collections.abc import Collection

from nose2.tools import params

from chestnutshift.steering.choice import POLICIES, Choice, Demand
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Upstream
from chestnutshift.steering.work import WorkEstimate
from tests.steering.world import NOW, SERVICE, make_directory, register

KEYS = [b'%d' % number for number in range(60)]
PLACES = ('a1', 'a2', 'b1', 'c1')


def work() -> WorkEstimate:
    """Return a service that is three times as fast for a known object."""
    return WorkEstimate(warm_s=0.3, cold_s=0.9)


def make_fleet(count: int = 12) -> UpstreamDirectory:
    """Return a service spread over all failure domains."""
    directory = make_directory()
    for number in range(count):
        domain = PLACES[number % len(PLACES)]
        register(directory, f'u{number}', failure_domain=domain)
    return directory


def choose(
    directory: UpstreamDirectory,
    object_key: bytes,
    place: tuple[str, str] = ('a1', 'a'),
    size_b: int = 0,
    regions: Collection[str] = (),
    avoided: Collection[Upstream] = (),
) -> Choice | None:
    """Choose with every cold upstream closed."""
    policy = POLICIES.get('soonest')(directory, *place)
    demand = Demand(SERVICE, object_key, size_b, frozenset(regions))
    return policy.choose(demand, work(), avoided, _closed, NOW)


def _closed(_upstream: Upstream, _now: float) -> bool:
    return False


def test_an_object_stays_on_one_upstream() -> None:
    """Pattern: ordinary days. VMs agree without a message."""
    directory = make_fleet()
    for object_key in KEYS:
        first = choose(directory, object_key)
        again = choose(directory, object_key)
        assert first.upstream is again.upstream
        assert int(first.warmth) == 1


def test_objects_spread_over_upstreams() -> None:
    """No upstream keeps many more objects than the others."""
    directory = make_fleet()
    counts = collections.Counter(
        choose(directory, object_key).upstream.name for object_key in KEYS
    )
    assert len(counts) > 8
    assert max(counts.values()) <= 15


def test_one_that_leaves_moves_only_its_objects() -> None:
    """Pattern: release. What the others know stays of use."""
    directory = make_fleet()
    before = {key: choose(directory, key).upstream.name for key in KEYS}
    directory.unregister(('u3',), NOW)
    after = {key: choose(directory, key).upstream.name for key in KEYS}
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved == {key for key in KEYS if before[key] == 'u3'}


def test_a_short_queue_is_no_reason_to_spill() -> None:
    """Pattern: burst. Warming another takes longer than a short wait."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    first.in_flight = first.slots + 1
    assert choose(directory, b'1').upstream is first


def test_a_long_queue_spills_to_idle_ones() -> None:
    """Pattern: hot object. Waiting costs more than the cold work."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    first.in_flight = first.slots * 6
    assert choose(directory, b'1').upstream is not first


def test_spilled_objects_meet_again() -> None:
    """Pattern: many VMs spill one busy object, and none knows of the others.

    They agree on the next upstream, so that one more learns the object and
    not as many as there are VMs.
    """
    taken = set()
    for number in range(8):
        directory = make_fleet()
        first = choose(directory, b'1').upstream
        first.in_flight = first.slots * 5
        for index, upstream in enumerate(directory):
            if upstream is not first:
                upstream.in_flight = (index + number) % 3
        taken.add(choose(directory, b'1').upstream.name)
    assert len(taken) == 1


def test_spilling_is_dear_when_all_are_busy() -> None:
    """Pattern: overload. Cold work would take slots from everyone."""
    directory = make_fleet()
    for upstream in directory:
        upstream.in_flight = upstream.slots + 1
    first = choose(directory, b'1').upstream
    first.in_flight = first.slots * 4
    assert choose(directory, b'1').upstream is first


@params(0, 60_000)
def test_cold_upstreams_are_left_alone(size_b: int) -> None:
    """Pattern: cold return. Without room in the pace another is taken."""
    directory = make_fleet()
    first = choose(directory, b'1', size_b=size_b).upstream
    first.cold_until = NOW + 1
    assert choose(directory, b'1', size_b=size_b).upstream is not first


def test_slow_upstreams_lose_their_objects() -> None:
    """Pattern: slow upstreams."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    for _ in range(20):
        first.record_answer(6, NOW)
    assert choose(directory, b'1').upstream is not first


def test_failing_upstreams_lose_their_objects() -> None:
    """Pattern: grey upstreams, whose health check is good."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    for _ in range(12):
        first.record_failure(NOW)
    assert choose(directory, b'1').upstream is not first


def test_large_bodies_stay_near() -> None:
    """Pattern: uploads. Bytes between failure domains are dear."""
    directory = make_fleet(24)
    domains = collections.Counter(
        choose(
            directory, key, size_b=60_000
        ).upstream.registration.failure_domain
        for key in KEYS
    )
    assert domains['a1'] > 0.5 * len(KEYS)


def test_regions_of_a_request_do_not_follow_load() -> None:
    """Pattern: shift. A busier region moves no part of another's requests."""
    directory = make_fleet(24)
    idle = [choose(directory, key).upstream.region for key in KEYS]
    for upstream in directory:
        upstream.in_flight = upstream.slots - 1
    busy = [choose(directory, key).upstream.region for key in KEYS]
    changed = sum(one != other for one, other in zip(idle, busy, strict=True))
    assert changed <= 0.15 * len(KEYS)


def test_homes_bind() -> None:
    """A request with homes runs there or nowhere."""
    directory = make_fleet()
    for object_key in KEYS:
        chosen = choose(directory, object_key, regions=('b',))
        assert chosen.upstream.region == 'b'
    assert choose(directory, b'1', regions=('north',)) is None


def test_region_lost() -> None:
    """Pattern: region lost. The others take its objects."""
    directory = make_fleet()
    directory.evacuate(frozenset(('a1', 'a2')), {}, NOW)
    for object_key in KEYS:
        assert choose(directory, object_key).upstream.region != 'a'


def test_every_upstream_avoided() -> None:
    """Where nothing is left there is no choice."""
    directory = make_fleet()
    assert choose(directory, b'1', avoided=tuple(directory)) is None
