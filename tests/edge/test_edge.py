"""End-to-end tests of one edge VM over real connections."""

import json

import trio
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.settings import Endpoint
from chestnutshift.events.log import EventFilter
from tests.edge.world import BOOK, SEARCH, TIMEOUT_S, running_edge, until
from tests.fleet.factories import make_member
from tests.platform.samples import ROUTE_TABLE


@trio_test
async def test_request_is_forwarded() -> None:
    """The upstream receives the account, not the key; its answer passes."""
    async with running_edge('serve') as world:
        answer = await world.ask()
        assert (answer.status_code, answer.text) == (200, 'GET ')
        assert answer.headers['x-chestnutshift-server-seal'] == 'i-0'
        received = world.upstreams[0].received[0]
        assert received['x-chestnutshift-tenant'] == 'konya'
        assert received['x-chestnutshift-expect-instance'] == 'i-0'
        assert int(received['x-chestnutshift-deadline-ms']) <= 1500
        assert 'authorization' not in received


@trio_test
async def test_refusals() -> None:
    """Unknown keys get 401, unknown routes 404; no upstream is called."""
    async with running_edge('serve') as world:
        assert (await world.ask(key='no')).status_code == 401
        assert (await world.ask(path='/z/')).status_code == 404
        assert not world.upstreams[0].received


@trio_test
async def test_shed_requests_are_retried() -> None:
    """A request that an upstream did not run is sent to another."""
    async with running_edge('shed', 'serve') as world:
        for _ in range(4):
            assert (await world.ask()).status_code == 200


@trio_test
async def test_request_shed_by_all_upstreams() -> None:
    """If no upstream runs the request, the 503 has a Retry-After."""
    async with running_edge('shed') as world:
        answer = await world.ask()
        assert answer.status_code == 503
        assert float(answer.headers['retry-after']) > 0


@trio_test
async def test_mismatched_answers_are_rejected() -> None:
    """Answers to another request or without a seal become a 502."""
    async with running_edge('crossed') as world:
        answer = await world.ask()
        assert answer.status_code == 502
        assert 'not yours' not in answer.text
    async with running_edge('unsealed') as world:
        answer = await world.ask()
        assert answer.status_code == 502


@trio_test
async def test_non_idempotent_requests_are_not_retried() -> None:
    """A non-idempotent request that may have run is not sent again."""
    async with running_edge('crossed', 'crossed') as world:
        route_rows = json.loads(json.dumps(ROUTE_TABLE['routes']))
        route_rows['rows'][1][11] = []
        route_rows['rows'][1][7] = None
        route_rows['rows'][1][12] = 's1'
        document = ROUTE_TABLE | {'routes': route_rows, 'version': '0000000d'}
        world.store.write('op', 'config', json.dumps(document).encode())
        await until(lambda: world.state.table.version == 13)
        answer = await world.ask(path=BOOK, method='POST', body=b'lease')
        assert answer.status_code == 502
        assert sum(len(upstream.received) for upstream in world.upstreams) == 1


@trio_test
async def test_timeout_is_answered_in_time() -> None:
    """A silent upstream leads to a 504 after the route's timeout."""
    async with running_edge('silent') as world:
        started_at = trio.current_time()
        answer = await world.ask()
        assert answer.status_code == 504
        assert int((trio.current_time() - started_at) * 10) >= 14


@trio_test
async def test_withdrawn_key() -> None:
    """A key that a newer route table lacks is refused."""
    async with running_edge('serve') as world:
        assert (await world.ask(key='k2')).status_code == 200
        accounts = json.loads(json.dumps(ROUTE_TABLE['tenants']))
        accounts['rows'][0][1] = ['k1']
        document = ROUTE_TABLE | {'tenants': accounts, 'version': '0000000d'}
        world.store.write('op', 'config', json.dumps(document).encode())
        await until(lambda: world.state.table.version == 13)
        assert (await world.ask(key='k2')).status_code == 401
        assert (await world.ask(key='k1')).status_code == 200


@trio_test
async def test_stale_keys_are_not_trusted() -> None:
    """Without proof of the newest route table any key gets 503, not 401."""
    async with running_edge('serve') as world:
        world.store.is_down = True
        await until(lambda: not world.state.trust.accepts_keys(boot_time()))
        for key in ('k1', 'no'):
            answer = await world.ask(key=key)
            assert answer.status_code == 503
        ready = await world.call(world.state.settings.readiness, '/-/readyz')
        assert ready.status_code == 503
        world.store.is_down = False
        await until(lambda: world.state.trust.accepts_keys(boot_time()))
        assert (await world.ask()).status_code == 200


@trio_test
async def test_unlisted_upstream_gets_no_requests() -> None:
    """An upstream whose registration was removed gets no requests."""
    async with running_edge('serve', 'serve') as world:
        world.store.remove('servers', 'i-0')
        await until(lambda: len(list(world.state.directory)) == 1)
        for _ in range(6):
            await world.ask(path=SEARCH)
        assert not world.upstreams[0].received


@trio_test
async def test_malformed_rows_are_ignored() -> None:
    """Malformed rows neither add upstreams nor hide valid ones."""
    async with running_edge('serve') as world:
        for key, content in (('x', b'\xff'), ('y', b'[]'), ('z', b'{}')):
            world.store.write('servers', key, content)
        world.store.write('op', 'other', b'{')
        await trio.sleep(0.6)
        assert (await world.ask()).status_code == 200
        assert len(list(world.state.directory)) == 1


@trio_test
async def test_lookup() -> None:
    """A look-up returns this VM in the platform's format."""
    async with running_edge('serve') as world:
        target = '/-/resolve?name=one.example&region=a&zone=a1'
        answer = await world.call(world.state.settings.lookups, target)
        callers = str(world.state.settings.callers)
        assert answer.json()['addrs'] == [callers]
        assert answer.json()['ttl'] == '2000ms'


@trio_test
async def test_chunked_upload() -> None:
    """A chunked request body reaches the upstream complete."""
    async with running_edge('serve') as world:

        async def chunks():
            for _ in range(8):
                yield b'x' * 10_000

        answer = await world.ask(method='POST', body=chunks())
        assert answer.text == f'POST {"x" * 80_000}'


@trio_test
async def test_metrics() -> None:
    """Requests are counted by route and outcome."""
    async with running_edge('serve') as world:
        await world.ask()
        await world.ask(path='/z/')
        settings = world.state.settings
        page = await world.call(
            Endpoint(settings.address, settings.metrics_port),
            '/metrics',
        )
        assert 'requests_total{outcome="200",route="search"} 1.0' in page.text
        assert 'outcome="request.no_route"' in page.text


# Guards against a VM that floods upstreams which became cold while it heard
# from nobody, and against one that serves no callers for fear of that.
@trio_test
async def test_isolated_vm_checks_its_upstreams() -> None:
    """It serves open routes, and slows down once a check tells of cold."""
    async with running_edge('serve', tenants=None) as world:
        state = world.state
        for number in range(2, 6):
            state.fleet.add_member(make_member(f'vm-{number}'), boot_time())
        world.store.is_down = True
        await until(lambda: state.is_isolated(boot_time()))
        upstream = state.directory.find('i-0')
        await until(
            lambda: state.upstream_rates.may_send(upstream, boot_time())
        )
        assert (await world.ask()).status_code == 200
        world.upstreams[0].cold_ms = 5000
        await until(lambda: upstream.is_cold(boot_time()))


@trio_test
async def test_unknown_headers_are_logged_once() -> None:
    """A header that the platform's pages do not name leaves a trace."""
    async with running_edge('serve') as world:
        world.upstreams[0].headers = ((b'x-news', b'1'),)
        for _ in range(3):
            await world.ask()
        number = events.HEADER_UNKNOWN.number
        logged = world.state.event_log.select(EventFilter(number=number))
        assert [event.facts['header'] for event in logged] == ['x-news']


# Guards against an upstream that gets far more requests than the limit that
# it names in its answers: the limit was not read.
@trio_test
async def test_upstream_that_names_a_limit() -> None:
    """What goes beyond the limit is refused at once, with a Retry-After."""
    limit, window_s = 3.0, 4.0
    async with running_edge('serve') as world:
        upstream = world.upstreams[0]
        upstream.headers = ((b'server-limit', b'3.0'),)
        await world.ask()
        await trio.sleep(0.5)
        upstream.served_at.clear()
        with trio.move_on_after(window_s):
            while True:
                answer = await world.ask()
                if answer.status_code != 200:
                    assert answer.status_code == 503
                    assert float(answer.headers['retry-after']) > 0
                await trio.sleep(0.02)
        assert 3 <= len(upstream.served_at) <= limit * 1.5 * window_s + 5


# Guards against an upstream that gets no request ever again after it named a
# limit of 0: only answers told that the limit had ended.
@trio_test
async def test_limit_of_zero_ends() -> None:
    """Health checks tell that the upstream accepts requests again."""
    async with running_edge('serve') as world:
        upstream = world.upstreams[0]
        upstream.headers = ((b'server-limit', b'0'),)
        await world.ask()
        assert (await world.ask()).status_code == 503
        served = len(upstream.served_at)
        await until(lambda: upstream.checks > 0)
        assert len(upstream.served_at) == served
        upstream.headers = ()
        known = world.state.directory.find('i-0')
        await until(lambda: known.rate_limit != 0)
        with trio.fail_after(TIMEOUT_S):
            while (await world.ask()).status_code != 200:
                await trio.sleep(0.1)
        assert known.rate_limit is None


@trio_test
async def test_malformed_limit_keeps_the_last_good_one() -> None:
    """It is counted, and logged once."""
    async with running_edge('serve') as world:
        upstream = world.upstreams[0]
        known = world.state.directory.find('i-0')
        for text in (b'50', b'-1', b'nan'):
            upstream.headers = ((b'server-limit', text),)
            await world.ask()
            assert known.rate_limit == 50
        number = events.RATE_LIMIT_MALFORMED.number
        assert (
            len(world.state.event_log.select(EventFilter(number=number))) == 1
        )


# Guards against an upstream in need that is flooded after a failure: the limit
# that it named in the health check was not kept.
@trio_test
async def test_health_check_names_a_limit() -> None:
    """The first limit may come with a health check."""
    async with running_edge('broken') as world:
        upstream = world.upstreams[0]
        upstream.headers = ((b'server-limit', b'2.5'),)
        assert (await world.ask()).status_code == 502
        known = world.state.directory.find('i-0')
        await until(lambda: upstream.checks > 0)
        await until(lambda: known.rate_limit is not None)
        assert int(known.rate_limit * 10) == 25
