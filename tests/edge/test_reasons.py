"""A refusal tells what it was decided by."""

from chestnutshift.edge import reasons
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.routes.model import Account
from chestnutshift.steering.choice import Choice, Demand
from chestnutshift.steering.upstreams import Condition
from tests.edge.world import make_settings
from tests.steering.world import NOW, SERVICE, make_directory, register


def test_every_upstream_is_accounted_for() -> None:
    """Cold, doubted, evacuated and far upstreams are counted apart."""
    directory = make_directory()
    register(directory, 'u1', cold_for_s=5)
    register(directory, 'u2').condition = Condition.UNPROVEN
    register(directory, 'u3', failure_domain='a2')
    register(directory, 'u4', failure_domain='b1')
    directory.evacuate(frozenset(('a2',)), {}, NOW)
    demand = Demand(SERVICE, regions=frozenset('a'))
    described = reasons.none_usable(directory, demand, NOW)
    for part in ('1 cold', '1 unproven', '1 evacuated', '1 in another region'):
        assert part in described


def test_no_upstream_is_listed() -> None:
    """A service without upstreams is told from a busy one."""
    described = reasons.none_usable(make_directory(), Demand('s9'), NOW)
    assert described.endswith('none listed')


def test_busy_upstream_is_named() -> None:
    """The best upstream, its load and the time that it may take."""
    upstream = register(make_directory(), 'u1')
    upstream.in_flight = 20
    described = reasons.busy(Choice(upstream, 2.5, warmth=1), 1.1, NOW)
    for part in ('u1', '2.50 s', '20 requests', '1.10 s'):
        assert part in described


def test_limits_and_proofs_are_told() -> None:
    """The limit, the VM that decides, and the age of the proof."""
    state = EdgeState(make_settings(store_port=1), 1, EventLog('vm-1'))
    described = reasons.over_limit(Account('konya', rate=4, burst=6), state)
    assert 'over 4 requests per second and 6 at once; vm-1 decides' in described
    state.freshness.prove(NOW)
    assert 'is 7.0 s old' in reasons.stale_keys(state, NOW + 7)
