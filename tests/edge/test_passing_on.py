"""Requests that a VM passes on to a peer, as it reaches no upstream."""

import attrs
import httpx
import trio
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.lookups import answer_lookup
from chestnutshift.events.log import EventFilter
from chestnutshift.steering.reachability import Reach
from tests.edge.linked_fleet import (
    HOMED,
    HOMELESS,
    HOST,
    READ,
    WRITE,
    LinkedVm,
    running_fleet,
)
from tests.edge.world import until
from tests.links import LinkFault
from tests.virtual_time import in_virtual_time

LARGE_B = 900_000
KEY = 'k1'
# How long a refusal, and the end of work for a caller that left, may take.
AT_ONCE_S = 0.3
CANCELLED_S = 0.2
# Requests before and after a peer begins to stop, and the pause between them.
STOPPING_REQUESTS = 8
STOPPING_PAUSE_S = 0.2
# A service that is slow, its health checks too; and requests that come while
# the peer has had no answer for as long as raises a doubt.
SLOW_ANSWER_S = 1.0
SLOW_CHECK_S = 0.3
SLOW_REQUESTS = 8
SILENT_S = 0.7
SILENT_PAUSE_S = 0.02
# How long a peer may take to find out what silence means.
DOUBT_S = 0.9


def _count(vm: LinkedVm, kind: object) -> int:
    return len(vm.state.event_log.select(EventFilter(number=kind.number)))


def _crossings(vm: LinkedVm) -> str:
    return f'http://{vm.state.settings.crossings}'


@trio_test
async def test_request_arrives_unchanged() -> None:
    """Once, with target, body and account, and without the caller's key."""
    async with running_fleet(vm_count=2) as fleet:
        cut = fleet.vms[0]
        await fleet.cut_off(cut)
        before = fleet.arrivals
        answer = await fleet.ask(
            cut, f'{WRITE}?q=%20x&r', b'a body', x_own='kept'
        )
        assert answer.status_code == 200
        assert answer.content == b'POST a body'
        assert 'x-chestnutshift-server-seal' in answer.headers
        assert fleet.arrivals == before + 1
        upstream = next(
            upstream
            for upstream in fleet.upstreams.values()
            if any(b'?q=' in target for target in upstream.targets)
        )
        assert upstream.targets[-1] == b'%b?q=%%20x&r' % WRITE.encode()
        headers = upstream.received[-1]
        assert headers['x-own'] == 'kept'
        assert headers['x-chestnutshift-tenant'] == 'konya'
        assert int(headers['x-chestnutshift-deadline-ms']) <= 2500
        assert not any(name.startswith('chestnutshift-') for name in headers)
        assert KEY not in headers.values()
        assert 'authorization' not in headers


@trio_test
async def test_long_bodies_are_streamed() -> None:
    """A request and its answer of almost a megabyte pass whole."""
    async with running_fleet(vm_count=2) as fleet:
        await fleet.cut_off(fleet.vms[0])
        body = b'x' * LARGE_B
        answer = await fleet.ask(fleet.vms[0], WRITE, body)
        assert answer.content == b'POST %b' % body


# A stranger must not run requests for an account that it claims.
@trio_test
async def test_strangers_are_refused() -> None:
    """Without the proof of a peer nothing reaches an upstream."""
    async with running_fleet(vm_count=2) as fleet:
        headers = {
            'host': HOST,
            'x-chestnutshift-request-id': 'stranger',
            'authorization': f'Token {KEY}',
        }
        claimed = {
            'chestnutshift-crossing': 'vm-0 a 1',
            'chestnutshift-crossing-proof': '0' * 64,
            'chestnutshift-crossing-progress': '{"service": "s1", "table": 1}',
            'chestnutshift-account': 'konya',
        }
        async with httpx.AsyncClient(verify=False) as client:
            for extra in ({}, claimed):
                answer = await client.get(
                    f'{_crossings(fleet.vms[1])}{READ}', headers=headers | extra
                )
                assert answer.status_code == 403
        assert fleet.arrivals == 0


# The quota was charged where the caller came, and again by the peer.
@trio_test
async def test_account_is_charged_once() -> None:
    """As many requests pass as the account's burst, each at one VM."""
    tenants = {
        'cols': ['name', 'api_keys', 'rate_per_s', 'burst'],
        'rows': [['konya', [KEY], 0.01, 400]],
    }
    async with running_fleet(vm_count=2, tenants=tenants) as fleet:
        cut, peer = fleet.vms
        await fleet.cut_off(cut)
        charged = peer.state.shares.reported_demand
        for _ in range(10):
            assert (await fleet.ask(cut)).status_code == 200
        peer.state.shares.report_demand(boot_time())
        assert peer.state.shares.reported_demand == charged


@trio_test
async def test_homes_hold_over_the_hop() -> None:
    """A request with a home region goes only to peers there."""
    async with running_fleet() as fleet:
        cut = fleet.vms[1]
        await fleet.cut_off(cut)
        for _ in range(6):
            assert (await fleet.ask(cut, HOMED)).status_code == 200
        at_home = [vm for vm in fleet.vms if vm.state.settings.region == 'a']
        await fleet.cut_off(*at_home)
        before = fleet.arrivals
        answer = await fleet.ask(cut, HOMED)
        assert answer.status_code == 503
        assert fleet.arrivals == before


# HOME: a request without any common home must reach no other VM's region.
@trio_test
async def test_request_without_a_home_stays() -> None:
    """Route and account have different homes: no VM gets the body."""
    tenants = {
        'cols': ['name', 'api_keys', 'home_regions'],
        'rows': [['konya', [KEY], ['a']]],
    }
    async with running_fleet(vm_count=2, tenants=tenants) as fleet:
        cut, peer = fleet.vms
        await fleet.cut_off(cut)
        answer = await fleet.ask(cut, HOMELESS)
        assert answer.status_code == 503
        assert not _count(peer, events.REQUEST_TAKEN_OVER)


# All VMs are cut off: callers must not wait for their deadlines.
@trio_test
async def test_all_vms_are_cut_off() -> None:
    """Requests are refused at once, have not run, and are served later."""
    async with running_fleet(vm_count=2) as fleet:
        await fleet.cut_off(*fleet.vms)
        await until(lambda: all(map(_knows_no_peer, fleet.vms)))
        before = fleet.arrivals
        for path, body in ((READ, b''), (WRITE, b'x')):
            started_at = trio.current_time()
            answer = await fleet.ask(fleet.vms[0], path, body)
            assert trio.current_time() - started_at <= AT_ONCE_S
            assert answer.status_code == 503
            assert answer.json()['ran'] == 'no'
            assert int(float(answer.headers['retry-after'])) >= 1
        assert fleet.arrivals == before
        for vm in fleet.vms:
            vm.cut(LinkFault.NONE)
        with trio.fail_after(3):
            await until(lambda: not any(map(_is_cut_off, fleet.vms)))
        assert (await fleet.ask(fleet.vms[0])).status_code == 200


@trio_test
async def test_requests_are_sent_directly_again() -> None:
    """Once the links are whole, no request crosses any more."""
    async with running_fleet(vm_count=2) as fleet:
        cut = fleet.vms[0]
        await fleet.cut_off(cut)
        assert (await fleet.ask(cut)).status_code == 200
        cut.cut(LinkFault.NONE)
        with trio.fail_after(3):
            await until(lambda: not _is_cut_off(cut))
        before = _count(cut, events.REQUEST_PASSED_ON)
        for _ in range(5):
            assert (await fleet.ask(cut)).status_code == 200
        assert _count(cut, events.REQUEST_PASSED_ON) == before
        assert _count(cut, events.REACHED_AGAIN) == 1


# GONE: work went on behind the hop for callers that had left.
@trio_test
async def test_departure_ends_the_work_behind_the_hop() -> None:
    """The upstream's request is cancelled soon after the caller left."""
    async with running_fleet(vm_count=2) as fleet:
        cut = fleet.vms[0]
        await fleet.cut_off(cut)
        for upstream in fleet.upstreams.values():
            upstream.behaviour = 'silent'
        before = fleet.arrivals
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.ask, cut)
            await until(lambda: fleet.arrivals > before)
            nursery.cancel_scope.cancel()
        left_at = trio.current_time()
        await until(
            lambda: any(
                upstream.cancelled for upstream in fleet.upstreams.values()
            )
        )
        assert trio.current_time() - left_at <= CANCELLED_S


# A peer that ends with the request in hand: whether it ran is not known.
@trio_test
async def test_peer_that_is_killed() -> None:
    """A request that must not run twice gets 502, another is sent again."""
    async with running_fleet(vm_count=3) as fleet:
        cut = fleet.vms[0]
        await fleet.cut_off(cut)
        for upstream in fleet.upstreams.values():
            upstream.behaviour = 'slow'
        answers = {}

        async def ask(path: str, body: bytes) -> None:
            answers[path] = await fleet.ask(cut, path, body)

        before = fleet.arrivals
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask, READ, b'')
            nursery.start_soon(ask, WRITE, b'x')
            await until(lambda: fleet.arrivals == before + 2)
            for vm in fleet.vms[1:]:
                if _count(vm, events.REQUEST_TAKEN_OVER):
                    vm.scope.cancel()
                    break
        assert answers[WRITE].status_code in {200, 502}
        # The third VM may have taken over the read, or takes it over now.
        assert answers[READ].status_code == 200


# LOST: a peer that stops must answer what it has taken over.
@trio_test
async def test_peer_that_stops() -> None:
    """Requests in its hands are answered, later ones go to another peer."""
    async with running_fleet(vm_count=3) as fleet:
        cut = fleet.vms[0]
        await fleet.cut_off(cut)
        for upstream in fleet.upstreams.values():
            upstream.behaviour = 'slow'
        statuses = []

        async def ask(path: str, body: bytes) -> None:
            answer = await fleet.ask(cut, path, body)
            statuses.append(answer.status_code)

        async with trio.open_nursery() as nursery:
            for _ in range(STOPPING_REQUESTS):
                nursery.start_soon(ask, READ, b'')
                nursery.start_soon(ask, WRITE, b'x')
            stopped = fleet.vms[2]
            await until(lambda: _count(stopped, events.REQUEST_TAKEN_OVER))
            stopped.stop()
            for _ in range(STOPPING_REQUESTS):
                nursery.start_soon(ask, WRITE, b'x')
                await trio.sleep(STOPPING_PAUSE_S)
        assert set(statuses) == {200}


# RECOVER: the one VM left refused with 503 what it could have served: no answer
# had come for 0.6 s, since the service was slow.
@in_virtual_time
async def test_peer_of_slow_upstreams() -> None:
    """Silence alone has it wait for checks, and then serve the request."""
    async with running_fleet(vm_count=2) as fleet:
        cut, peer = fleet.vms
        await fleet.cut_off(cut)
        for upstream in fleet.upstreams.values():
            upstream.behaviour = 'slow'
            upstream.slow_s = SLOW_ANSWER_S
            upstream.check_s = SLOW_CHECK_S
        statuses = []

        async def ask(path: str, body: bytes) -> None:
            answer = await fleet.ask(cut, path, body)
            statuses.append(answer.status_code)

        async with trio.open_nursery() as nursery:
            for _ in range(SLOW_REQUESTS):
                nursery.start_soon(ask, WRITE, b'x')
            await trio.sleep(SILENT_S)
            assert _is_in_doubt(peer)
            for _ in range(SLOW_REQUESTS):
                nursery.start_soon(ask, WRITE, b'x')
                await trio.sleep(SILENT_PAUSE_S)
        assert set(statuses) == {200}


# The other side: a peer that is cut off itself must not hold requests for long.
@in_virtual_time
async def test_peer_whose_links_are_silent() -> None:
    """It sends nothing, and refuses while there is time to ask another."""
    async with running_fleet(vm_count=2) as fleet:
        cut, peer = fleet.vms
        await fleet.cut_off(cut)
        peer.cut(LinkFault.SILENT)
        async with trio.open_nursery() as nursery:
            for _ in range(SLOW_REQUESTS):
                nursery.start_soon(fleet.ask, cut, READ)
            await trio.sleep(SILENT_S)
            assert _is_in_doubt(peer)
            sent = _count(peer, events.REQUEST_SENT)
            started_at = trio.current_time()
            answer = await fleet.ask(cut, WRITE, b'x')
            assert trio.current_time() - started_at <= DOUBT_S + AT_ONCE_S
            assert answer.status_code == 503
            assert answer.json()['ran'] == 'no'
            assert _count(peer, events.REQUEST_SENT) == sent
            nursery.cancel_scope.cancel()


@trio_test
async def test_lookups_prefer_vms_that_reach_upstreams() -> None:
    """A VM that is cut off stays ready, but is named to no new caller."""
    async with running_fleet(vm_count=6) as fleet:
        cut = fleet.vms[0]
        await fleet.cut_off(cut)
        other = fleet.vms[2]
        own = str(cut.state.settings.callers)
        await until(
            lambda: (
                own
                not in answer_lookup(
                    other.state, 'a', 'a1', boot_time()
                ).addresses
            )
        )
        assert cut.state.is_ready(boot_time())


# A peer that lags behind must not decide by a route table of before.
@trio_test
async def test_peer_with_an_older_route_table() -> None:
    """It takes over nothing, even if it is asked."""
    async with running_fleet(vm_count=2) as fleet:
        cut, peer = fleet.vms
        await fleet.cut_off(cut)
        await trio.sleep(0.5)
        table = cut.state.table
        newer = attrs.evolve(table, version=table.version + 1)
        cut.state.adopt(newer)
        before = fleet.arrivals
        answer = await fleet.ask(cut)
        assert answer.status_code == 503
        assert fleet.arrivals == before
        peer.state.adopt(newer)
        await trio.sleep(0.5)
        assert (await fleet.ask(cut)).status_code == 200


def _is_cut_off(vm: LinkedVm) -> bool:
    return vm.state.directory.reach.is_cut_off


def _is_in_doubt(vm: LinkedVm) -> bool:
    return vm.state.directory.reach.reach(boot_time()) is Reach.IN_DOUBT


def _knows_no_peer(vm: LinkedVm) -> bool:
    heartbeats = vm.state.fleet.heartbeats(boot_time())
    return all(heartbeat.unreached for heartbeat in heartbeats)
