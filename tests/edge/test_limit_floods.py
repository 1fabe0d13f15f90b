"""An upstream that names a limit gets no more from all VMs together."""

from nose2.tools import params

from chestnutshift.platform.heads import PlatformDialect
from chestnutshift.fleet.share_holders import SHARE_EXPIRY_S
from tests.edge.fleet_world import (
    FleetVm,
    FleetWorld,
    make_fleet_world,
    make_registration,
)

WINDOW_S = 4.0
# Time from an upstream's first answer with a limit until all VMs know it.
NEWS_S = 1.0


def allowed(limit: float) -> float:
    """Return the requests that the users allow in a window."""
    return limit * 1.5 * WINDOW_S + 5


def make_limited_world(limit: float) -> FleetWorld:
    """Return a fleet whose upstream has named a limit for a while."""
    world = make_fleet_world()
    world.tell([make_registration()], is_whole=True)
    world.rate_limit = limit
    world.send_for(NEWS_S, 'i-1')
    world.sent_at.clear()
    return world


def may_send(vm: FleetVm, now: float) -> bool:
    """Return whether the VM may send the upstream a request."""
    upstream = vm.state.directory.find('i-1')
    return vm.state.upstream_rates.may_send(upstream, now)


# Guards against a fleet in which each VM keeps to the limit for itself, or in
# which only those VMs keep to it that got such an answer.
@params(2.8, 4.8, 12)
def test_vms_together_keep_to_a_named_limit(limit: float) -> None:
    """Twelve VMs ask for 48 requests a second."""
    world = make_limited_world(limit)
    world.send_for(12, 'i-1')
    assert world.most_within(WINDOW_S) <= allowed(limit)
    assert len(world.sent_at) >= limit * 12 * 0.6


# Guards against a limit that outlives the answers that named it.
def test_limit_that_changes_and_ends() -> None:
    """The rate follows the newest answers."""
    world = make_limited_world(12)
    world.rate_limit = 3
    world.send_for(3, 'i-1')
    world.sent_at.clear()
    world.send_for(6, 'i-1')
    assert world.most_within(WINDOW_S) <= allowed(3)
    world.rate_limit = None
    world.send_for(4, 'i-1')
    world.sent_at.clear()
    world.send_for(2, 'i-1')
    assert len(world.sent_at) > 2 * 40


# Guards against a limit that replaces a lower cold rate, or the reverse.
@params((2.8, 3.0), (50, 6.1))
def test_lower_of_two_limits(limit: float, most: float) -> None:
    """A cold upstream names a limit."""
    world = make_limited_world(limit)
    cold = make_registration(sequence=6, cold_for_s=20)
    world.tell([cold])
    world.send_for(1, 'i-1')
    world.sent_at.clear()
    world.send_for(10, 'i-1')
    assert 10 < len(world.sent_at) <= most * 10 + 3


# Guards against a limit that is given up, or a process that ends, for a
# header that is no decimal number.
@params(
    b'-1', b'NaN', b'inf', b'1e999', b'3, 4', b'', b'9' * 400, b'0x10', b'+-2',
)  # fmt: skip
def test_malformed_limits(text: bytes) -> None:
    """They are told from answers without a limit."""
    facts = PlatformDialect().read_answer([(b'server-limit', text)])
    assert facts.rate_limit is None
    assert facts.is_rate_limit_malformed


# Guards against an upstream in need that is flooded since it prints its limit
# with all its decimals, or in another notation of the same number.
@params(
    (b'2.8', 2.8), (b'0', 0), (b' 12 ', 12), (b'6.666666666666667', 20 / 3),
    (b'1e3', 1000), (b'+2', 2), (b'5.0E-4', 0.0005), (b'.5', 0.5), (b'8.', 8),
    (b'0000000000000000012', 12),
)  # fmt: skip
def test_limits(text: bytes, limit: float) -> None:
    """Both spellings of the header name a limit."""
    for name in (b'server-limit', b'x-chestnutshift-server-limit'):
        facts = PlatformDialect().read_answer([(name, text)])
        assert facts.rate_limit == limit
        assert not facts.is_rate_limit_malformed


# Guards against callers that all return at once while every upstream of a
# service names a limit.
def test_refused_callers_return_spread() -> None:
    """The time until there is room grows with the requests refused."""
    world = make_limited_world(12)
    state = world.vms[0].state
    upstreams = list(state.directory)
    waits_s = [
        state.upstream_rates.room_s('s1', upstreams, world.now)
        for _ in range(200)
    ]
    assert waits_s == sorted(waits_s)
    assert waits_s[-1] > 3
    for upstream in upstreams:
        upstream.record_rate_limit(None, world.now + 1)
    assert state.upstream_rates.room_s('s1', upstreams, world.now) == 0


# Guards against a limited upstream that gets no requests because the VMs that
# were chosen to send to it are gone: their rows stay in the store.
def test_senders_that_are_gone_are_replaced() -> None:
    """Half a minute after their last heartbeat others send."""
    world = make_limited_world(4.8)
    gone = [vm for vm in world.vms if may_send(vm, world.now + 5)]
    assert 0 < len(gone) <= 4
    for vm in gone:
        world.vms.remove(vm)
    world.now += SHARE_EXPIRY_S
    world.exchange_heartbeats()
    world.exchange_heartbeats()
    world.send_for(1, 'i-1')
    world.sent_at.clear()
    world.send_for(8, 'i-1')
    assert world.most_within(WINDOW_S) <= allowed(4.8)
    assert len(world.sent_at) >= 4.8 * 8 * 0.6


# Guards against a log that tells of a change with each heartbeat, as peers
# tell a limit with fewer decimals.
def test_limit_of_many_decimals_is_one_limit() -> None:
    """What peers tell of the same limit is no change, another limit is."""
    upstream = next(iter(make_limited_world(12).vms[0].state.directory))
    now = upstream.rate_limit_at + 1
    assert upstream.record_rate_limit(20 / 3, now)
    assert not upstream.record_rate_limit(6.667, now + 1)
    assert not upstream.record_rate_limit(20 / 3, now + 2)
    assert upstream.record_rate_limit(6.7, now + 3)
    assert upstream.record_rate_limit(None, now + 4)
    assert not upstream.record_rate_limit(None, now + 5)
