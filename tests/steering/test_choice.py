"""The choice of upstreams under different load and failure patterns."""

import collections
from collections.abc import Collection

from nose2.tools import params

from chestnutshift.steering.choice import POLICIES, Choice, RequestProfile
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.service_time import (
    CacheState,
    ServiceTimeEstimate,
)
from chestnutshift.steering.upstreams import Upstream
from tests.steering.factories import NOW, SERVICE, make_directory, register

KEYS = [b'%d' % number for number in range(60)]
FAILURE_DOMAINS = ('a1', 'a2', 'b1', 'c1')


def make_estimate() -> ServiceTimeEstimate:
    """Return an estimate that is three times lower for a cached object."""
    return ServiceTimeEstimate.from_bounds(warm_s=0.3, cold_s=0.9)


def make_fleet(count: int = 12) -> UpstreamDirectory:
    """Return a directory with upstreams in all failure domains."""
    directory = make_directory()
    for number in range(count):
        domain = FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)]
        register(directory, f'u{number}', failure_domain=domain)
    return directory


def choose(
    directory: UpstreamDirectory,
    object_key: bytes,
    location: tuple[str, str] = ('a1', 'a'),
    size_b: int = 0,
    regions: Collection[str] = (),
    avoided: Collection[Upstream] = (),
) -> Choice | None:
    """Choose while no cold upstream may receive a request."""
    policy = POLICIES.get('soonest')(directory, *location)
    profile = RequestProfile(SERVICE, object_key, size_b, frozenset(regions))
    return policy.choose(profile, make_estimate(), avoided, _reject_cold, NOW)


def _reject_cold(upstream: Upstream, now: float) -> bool:
    return not upstream.is_cold(now)


def test_an_object_stays_on_one_upstream() -> None:
    """Under ordinary load, VMs agree without communicating."""
    directory = make_fleet()
    for object_key in KEYS:
        first = choose(directory, object_key)
        again = choose(directory, object_key)
        assert first.upstream is again.upstream
        assert first.state is CacheState.FIRST


def test_objects_spread_over_upstreams() -> None:
    """No upstream gets many more objects than the others."""
    directory = make_fleet()
    counts = collections.Counter(
        choose(directory, object_key).upstream.name for object_key in KEYS
    )
    assert len(counts) > 8
    assert max(counts.values()) <= 15


def test_removed_upstream_moves_only_its_objects() -> None:
    """During a rolling release, the caches of other upstreams stay useful."""
    directory = make_fleet()
    before = {key: choose(directory, key).upstream.name for key in KEYS}
    directory.unregister(('u3',), NOW)
    after = {key: choose(directory, key).upstream.name for key in KEYS}
    moved = {key for key in KEYS if before[key] != after[key]}
    assert moved == {key for key in KEYS if before[key] == 'u3'}


def test_short_queue_does_not_spill() -> None:
    """In a burst, a cold request takes longer than a short wait."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    first.in_flight = first.slots + 1
    assert choose(directory, b'1').upstream is first


def test_long_queue_spills_to_idle_upstreams() -> None:
    """For a hot object, waiting costs more than a cold request."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    first.in_flight = first.slots * 6
    assert choose(directory, b'1').upstream is not first


def test_vms_spill_to_the_same_upstream() -> None:
    """Many VMs spill one hot object without knowing of each other.

    They agree on the next upstream, so that only one more upstream caches
    the object, not one for each VM.
    """
    chosen = set()
    for number in range(8):
        directory = make_fleet()
        first = choose(directory, b'1').upstream
        first.in_flight = first.slots * 8
        for index, upstream in enumerate(directory):
            if upstream is not first:
                upstream.in_flight = (index + number) % 3
        choice = choose(directory, b'1')
        assert choice.upstream is not first
        chosen.add(choice.upstream.name)
    assert len(chosen) == 1


def test_no_spill_while_all_are_busy() -> None:
    """Under overload, cold requests would take slots from all others."""
    directory = make_fleet()
    for upstream in directory:
        upstream.in_flight = upstream.slots + 1
    first = choose(directory, b'1').upstream
    first.in_flight = first.slots * 4
    assert choose(directory, b'1').upstream is first


@params(0, 60_000)
def test_cold_upstreams_are_skipped(size_b: int) -> None:
    """While the cold rate is used up, another upstream is chosen."""
    directory = make_fleet()
    first = choose(directory, b'1', size_b=size_b).upstream
    first.cold_until = NOW + 1
    assert choose(directory, b'1', size_b=size_b).upstream is not first


def test_slow_upstreams_lose_their_objects() -> None:
    """An upstream with six times the expected latency is avoided."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    for _ in range(20):
        first.record_answer(6, NOW)
    assert choose(directory, b'1').upstream is not first


def test_failing_upstreams_lose_their_objects() -> None:
    """A failing upstream is avoided even if its health checks succeed."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    for _ in range(12):
        first.record_failure(NOW)
    assert choose(directory, b'1').upstream is not first


def test_small_differences_in_speed_move_nothing() -> None:
    """Objects stay where they are cached while speeds differ by chance."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    for _ in range(20):
        first.record_answer(1.8, NOW)
    assert choose(directory, b'1').upstream is first


def test_equal_failures_move_nothing() -> None:
    """All upstreams shed a part of their requests: objects stay in place."""
    directory = make_fleet()
    first = choose(directory, b'1').upstream
    for upstream in directory:
        upstream.failure_rate = 0.5
    first.failure_rate = 0.65
    assert choose(directory, b'1').upstream is first


def test_requests_without_an_object_spread() -> None:
    """Without an object there is no cache to gain from, only load to share."""
    directory = make_fleet()
    for _ in range(60):
        upstream = choose(directory, b'').upstream
        upstream.in_flight += 1
        upstream.record_object(b'', NOW)
    loads = [upstream.in_flight for upstream in directory.of_service(SERVICE)]
    assert min(loads) >= 3
    assert max(loads) <= 8


def test_known_copy_goes_before_a_new_first() -> None:
    """A release adds upstreams: objects stay where they were sent before."""
    directory = make_fleet()
    before = choose(directory, b'1').upstream
    before.record_object(b'1', NOW - 0.5)
    for number in range(40):
        register(directory, f'new{number}')
    estimate = make_estimate()
    for _ in range(20):
        estimate.learn(0.9, CacheState.FIRST)
    policy = POLICIES.get('soonest')(directory, 'a1', 'a')
    profile = RequestProfile(SERVICE, b'1')
    choice = policy.choose(profile, estimate, (), _reject_cold, NOW)
    assert choice.upstream is before


def test_large_bodies_stay_in_the_domain() -> None:
    """Uploads avoid costly transfers between failure domains."""
    directory = make_fleet(24)
    domains = collections.Counter(
        choose(
            directory, key, size_b=60_000
        ).upstream.registration.failure_domain
        for key in KEYS
    )
    assert domains['a1'] > 0.5 * len(KEYS)


def test_regions_of_a_request_do_not_follow_load() -> None:
    """Rising load moves few requests to other regions."""
    directory = make_fleet(24)
    idle = [choose(directory, key).upstream.region for key in KEYS]
    for upstream in directory:
        upstream.in_flight = upstream.slots - 1
    busy = [choose(directory, key).upstream.region for key in KEYS]
    changed = sum(
        before != after for before, after in zip(idle, busy, strict=True)
    )
    assert changed <= 0.15 * len(KEYS)


def test_home_regions_are_enforced() -> None:
    """A request with home regions runs in one of them or not at all."""
    directory = make_fleet()
    for object_key in KEYS:
        chosen = choose(directory, object_key, regions=('b',))
        assert chosen.upstream.region == 'b'
    assert choose(directory, b'1', regions=('north',)) is None


def test_evacuated_region_gets_no_requests() -> None:
    """When a region is evacuated, the others take its objects."""
    directory = make_fleet()
    directory.evacuate(frozenset(('a1', 'a2')), {}, NOW)
    for object_key in KEYS:
        assert choose(directory, object_key).upstream.region != 'a'


def test_every_upstream_avoided() -> None:
    """There is no choice if all upstreams are to be avoided."""
    directory = make_fleet()
    assert choose(directory, b'1', avoided=tuple(directory)) is None


# Guards against a cascade: the load of an upstream that names a limit goes to
# the next one in order, until that one names a limit as well.
def test_load_of_limited_upstreams_spreads() -> None:
    """Four of twelve take nothing; none of the rest gets twice its part."""
    directory = make_fleet()
    policy = POLICIES.get('soonest')(directory, 'a1', 'a')
    limited = {directory.find(f'u{number}') for number in range(4)}
    for upstream in limited:
        upstream.record_rate_limit(0, NOW)

    def may_send(upstream: Upstream, _now: float) -> bool:
        return upstream not in limited

    for number in range(16):
        profile = RequestProfile(SERVICE, b'%d' % number)
        choice = policy.choose(profile, make_estimate(), (), may_send, NOW)
        choice.upstream.in_flight += 1
    used = [upstream for upstream in directory if upstream.in_flight]
    assert not limited.intersection(used)
    assert max(upstream.in_flight for upstream in used) <= 2 * 16 / 8
