"""The details of refusals state what decided them."""

from chestnutshift.edge import reasons
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.routes.model import Account
from chestnutshift.steering.choice import Choice, RequestProfile
from chestnutshift.steering.service_time import CacheState
from chestnutshift.steering.upstreams import Condition
from tests.edge.world import make_settings
from tests.steering.factories import NOW, SERVICE, make_directory, register


def test_every_upstream_is_accounted_for() -> None:
    """Cold, unproven, evacuated and remote upstreams are counted apart."""
    directory = make_directory()
    register(directory, 'u1', cold_for_s=5)
    register(directory, 'u2').condition = Condition.UNPROVEN
    register(directory, 'u3', failure_domain='a2')
    register(directory, 'u4', failure_domain='b1')
    directory.evacuate(frozenset(('a2',)), {}, NOW)
    profile = RequestProfile(SERVICE, regions=frozenset('a'))
    refusal = reasons.none_usable(directory, profile, NOW)
    for part in ('1 cold', '1 unproven', '1 evacuated', '1 in another region'):
        assert part in refusal


def test_service_without_upstreams() -> None:
    """A service without upstreams is distinguishable from a busy one."""
    refusal = reasons.none_usable(make_directory(), RequestProfile('s9'), NOW)
    assert refusal.endswith('none listed')


def test_busy_upstream_is_named() -> None:
    """The detail has the best upstream, its load and the permitted time."""
    upstream = register(make_directory(), 'u1')
    upstream.in_flight = 20
    refusal = reasons.busy(
        Choice(upstream, 2.5, state=CacheState.FIRST), 1.1, NOW
    )
    for part in ('u1', '2.50 s', '20 requests', '1.10 s'):
        assert part in refusal


def test_limits_and_proofs_are_described() -> None:
    """The details have the limit, the deciding VM and the proof's age."""
    state = EdgeState(make_settings(store_port=1), 1, EventLog('vm-1'))
    refusal = reasons.over_limit(Account('konya', rate=4, burst=6), state)
    assert 'over 4 requests per second and 6 at once; vm-1 decides' in refusal
    state.freshness.record_proof(NOW)
    assert 'is 7.0 s old' in reasons.stale_keys(state, NOW + 7)
