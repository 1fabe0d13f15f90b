"""Upstreams that turn requests away and say for how long."""

import re
from unittest.mock import patch

import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.dialect import AnswerFacts
from chestnutshift.edge.upstream_reports import UNREADABLE_PAUSE_S
from chestnutshift.events.log import EventFilter
from chestnutshift.upstreams.connections import UpstreamConnections
from tests.edge.world import World, running_edge, until

PAUSE_S = 1.2
PAUSES = (b'retry-after', b'%.1f' % PAUSE_S)
REQUESTS = 12
NOW = 1000.0


def _facts(retry_after_s: float) -> AnswerFacts:
    return AnswerFacts(
        'r-1',
        '',
        is_sealed=False,
        is_not_run=True,
        is_encoded=False,
        retry_after_s=retry_after_s,
    )


async def _ask_many(world: World, first: int = 0) -> list[int]:
    """Send requests for different objects; return the statuses."""
    statuses = []
    for number in range(first, first + REQUESTS):
        key = f'{number}'
        answer = await world.ask(x_chestnutshift_affinity_key=key)
        statuses.append(answer.status_code)
    return statuses


# BUDGET: an upstream said 503 with Retry-After and got requests meanwhile.
@trio_test
async def test_upstream_that_asks_for_a_pause() -> None:
    """It gets nothing for so long, and requests again after it."""
    async with running_edge('serve', 'shed') as world:
        pausing = world.upstreams[1]
        pausing.headers = (PAUSES,)
        started_at = trio.current_time()
        assert set(await _ask_many(world)) == {200}
        assert len(pausing.received) == 1
        pausing.behaviour = 'serve'
        pausing.headers = ()
        first = REQUESTS
        with trio.fail_after(20):
            while len(pausing.received) < 2:
                # Objects asked for before are cached at the other upstream.
                await _ask_many(world, first)
                first += REQUESTS
        assert trio.current_time() - started_at >= PAUSE_S


# BUDGET: a later, shorter word ended a pause that an earlier one asked for.
@trio_test
async def test_shorter_pause_does_not_end_a_longer_one() -> None:
    """The pause lasts as long as any answer said."""
    async with running_edge('shed') as world:
        upstream = next(iter(world.state.directory))
        reports = world.state.upstream_reports
        for pause_s in (9, 1):
            reports.record_head(
                upstream, 503, _facts(pause_s), NOW, source='answer'
            )
        assert upstream.is_paused(NOW + 8)


# BUDGET: a request that waited for a connection was sent in the pause.
@trio_test
async def test_request_that_waits_for_a_connection() -> None:
    """An upstream that asks for a pause meanwhile does not get it."""
    async with running_edge('serve', 'serve') as world:
        pausing = next(iter(world.state.directory))

        async def dial_slowly(connections: UpstreamConnections) -> None:
            """Have the upstream ask for a pause before it is connected."""
            if connections.port == pausing.registration.port:
                world.state.upstream_reports.record_head(
                    pausing, 503, _facts(9), boot_time(), source='answer'
                )
            return await connect(connections)

        connect = UpstreamConnections.connect
        with patch.object(UpstreamConnections, 'connect', dial_slowly):
            assert set(await _ask_many(world)) == {200}
        named = {upstream.name: upstream for upstream in world.upstreams}
        assert not named[pausing.name].received


# BUDGET: a pause of 25/3 s, printed with all its decimals, was ignored, and
# the upstream got requests in it.
@params(b'8.333333333333334', b'8.333333333333334000', b'8333.3e-3', b'+8.')
@trio_test
async def test_pause_of_many_decimals(text: bytes) -> None:
    """Any notation of a number of seconds asks for the pause."""
    async with running_edge('shed') as world:
        world.upstreams[0].headers = ((b'retry-after', text),)
        await _ask_many(world)
        assert len(world.upstreams[0].received) == 1
        upstream = next(iter(world.state.directory))
        assert upstream.is_paused(boot_time() + 7)
        assert not upstream.is_paused(boot_time() + 9)


# BUDGET: a pause that was asked for twice in one answer was not read.
@trio_test
async def test_pause_in_two_headers() -> None:
    """The longer of the two counts."""
    async with running_edge('shed') as world:
        world.upstreams[0].headers = (
            (b'retry-after', b'9'),
            (b'retry-after', b'7'),
        )
        await _ask_many(world)
        assert len(world.upstreams[0].received) == 1


# BUDGET: requests went on ten minutes after an upstream had asked for a day.
@trio_test
async def test_pause_of_a_day() -> None:
    """A pause is as long as it was asked for."""
    async with running_edge('shed') as world:
        upstream = next(iter(world.state.directory))
        world.state.upstream_reports.record_head(
            upstream, 503, _facts(86400), NOW, source='answer'
        )
        assert upstream.is_paused(NOW + 86399)
        assert not upstream.is_paused(NOW + 86401)


# BUDGET: an upstream that asked for a pause in words or as a date got none.
@params(b'soon', b'Fri, 31 Dec 2027 23:59:59 GMT', b'8,5', b'nan', b'')
@trio_test
async def test_pause_of_unreadable_length(text: bytes) -> None:
    """It gets one of a fixed length."""
    async with running_edge('shed') as world:
        world.upstreams[0].headers = ((b'retry-after', text),)
        await _ask_many(world)
        assert len(world.upstreams[0].received) == 1
        upstream = next(iter(world.state.directory))
        assert not upstream.is_paused(boot_time() + UNREADABLE_PAUSE_S)


@trio_test
async def test_all_upstreams_ask_for_a_pause() -> None:
    """Callers are refused at once and told when the first one is back."""
    async with running_edge('shed') as world:
        world.upstreams[0].headers = ((b'retry-after', b'9'),)
        await world.ask()
        answer = await world.ask()
        assert answer.status_code == 503
        assert 8 < float(answer.headers['retry-after']) < 15
        assert len(world.upstreams[0].received) == 1


@trio_test
async def test_check_that_asks_for_a_pause() -> None:
    """A health check may be turned away as well."""
    async with running_edge('broken') as world:
        upstream = world.upstreams[0]
        upstream.check_status = 503
        upstream.headers = ((b'retry-after', b'30'),)
        await world.ask()
        await until(lambda: upstream.checks)
        await trio.sleep(2.5)
        assert upstream.checks == 1


@trio_test
async def test_retry_after_of_other_answers_is_no_pause() -> None:
    """Only a 503 asks for a pause, and only with a number of seconds."""
    async with running_edge('serve') as world:
        for text in (b'30', b'soon'):
            world.upstreams[0].headers = ((b'retry-after', text),)
            assert set(await _ask_many(world)) == {200}
    async with running_edge('shed') as world:
        world.upstreams[0].headers = ((b'retry-after', b'-5'),)
        await _ask_many(world)
        assert len(world.upstreams[0].received) >= REQUESTS


# Guards against a header that is dropped in silence: nothing told an ignored
# Retry-After from an answer without one.
@trio_test
async def test_dropped_headers_are_told() -> None:
    """Each is counted, and logged once a run of the upstream, with reason."""
    async with running_edge('shed') as world:
        world.upstreams[0].headers = (
            (b'retry-after', b'soon'),
            (b'x-chestnutshift-server-load', b'1,2'),
            (b'x-chestnutshift-cold-ms', b'9' * 20),
            (b'server-limit', b'many'),
        )
        await _ask_many(world)
        log = world.state.event_log
        number = events.HEADER_MALFORMED.number
        told = [event.facts for event in log.select(EventFilter(number=number))]
        page = world.state.metrics.render().decode()
        assert sorted(facts['header'] for facts in told) == [
            'retry-after',
            'server-limit',
            'x-chestnutshift-cold-ms',
            'x-chestnutshift-server-load',
        ]
        assert any("'soon'" in facts['detail'] for facts in told)
        counts = re.findall(
            r'headers_malformed_total\{header="retry-after"\} (\S+)', page
        )
        assert float(counts[0]) == len(world.upstreams[0].received)
