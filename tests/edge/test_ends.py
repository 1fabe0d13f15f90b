"""Ends of processes and connections are logged with their reasons."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from unittest.mock import Mock, patch

import trio
from trio.testing import trio_test

from chestnutshift.callers.ends import EndReason
from chestnutshift.edge import events
from chestnutshift.edge.process import EdgeProcess
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.catalogue import EventKind
from chestnutshift.events.log import Event, EventFilter
from tests.callers.clients import Caller, calling
from tests.edge.factories import make_state
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import (
    SEARCH,
    World,
    make_process,
    running_edge,
    running_edge_at,
    until,
)
from tests.processes.world import raw_head

BODY_B = 1000
# An upstream's answer is with the VM after this long.
ANSWERED_S = 0.3
READ_B = 65_536
ANSWER = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: 4\r\n\r\nbody'
)


def _logged(state: EdgeState, kind: EventKind) -> list[Event]:
    return state.event_log.select(EventFilter(number=kind.number))


def _count(world: World, metric: str, **labels: str) -> float:
    return world.state.metrics.registry.get_sample_value(
        f'chestnutshift_{metric}', labels
    )


@asynccontextmanager
async def _requested(behaviour: str) -> AsyncIterator[tuple[World, Caller]]:
    """Yield a world, and a caller whose request has reached an upstream."""
    async with running_edge(behaviour) as world:
        upstream = world.upstreams[0]
        upstream.breaks = trio.Event()
        port = world.state.settings.callers.port
        async with calling(port) as caller:
            await caller.send(raw_head('GET', SEARCH))
            await until(lambda: len(upstream.received) == 1)
            yield world, caller


def _lost_count(world: World) -> float:
    """Return the number of lost requests, whatever the reason."""
    return sum(
        _count(world, 'requests_lost_total', reason=reason.value)
        for reason in EndReason
    )


async def _break_off(world: World, caller: Caller) -> None:
    """Let an answer break off that has begun, and read to its end.

    A reset takes with it what the VM has not read. If that is much, nothing of
    the answer was passed on yet, and it is refused instead.
    """
    assert await caller.stream.receive_some(1) == b'H'
    world.upstreams[0].breaks.set()
    with suppress(trio.BrokenResourceError):
        await caller.read_end()


@trio_test
async def test_caller_that_leaves() -> None:
    """Its connection counts, and none of its requests as lost."""
    async with _requested('silent') as (world, caller):
        await caller.stream.aclose()
        await until(
            lambda: bool(_logged(world.state, events.REQUEST_ABANDONED))
        )
        await until(
            lambda: (
                _count(
                    world,
                    'connections_ended_total',
                    reason=EndReason.CALLER_LEFT.value,
                )
                == 1
            )
        )
        abandoned = _logged(world.state, events.REQUEST_ABANDONED)[0]
        assert abandoned.facts['has_caller_left']
        assert _lost_count(world) == 0
        assert not _logged(world.state, events.CONNECTION_LOST)


async def _serve_all_but_the_first(stream: trio.SocketStream) -> None:
    """Answer as an upstream, but for a request with the header `first`."""
    async with stream:
        # An abandoned request resets it.
        with suppress(trio.BrokenResourceError):
            while received := await stream.receive_some(READ_B):
                if b'first: 1' not in received:
                    request_id = REQUEST_ID.search(received)[1]
                    await stream.send_all(ANSWER % request_id)


# The log and the metrics told that an answer was delivered, of which nothing
# was sent: it still waited for those before it.
@trio_test
async def test_answer_that_waits_for_its_turn() -> None:
    """It does not count as delivered if the connection ends before that."""
    async with running_edge_at(_serve_all_but_the_first) as world:
        async with calling(world.state.settings.callers.port) as caller:
            first = raw_head('GET', SEARCH, ('first', '1'))
            await caller.send(first + raw_head('GET', SEARCH))
            await until(
                lambda: len(_logged(world.state, events.REQUEST_SENT)) == 2
            )
            await trio.sleep(ANSWERED_S)
        await until(
            lambda: len(_logged(world.state, events.REQUEST_ABANDONED)) == 2
        )
        assert not _logged(world.state, events.REQUEST_ENDED)


# Nothing told a request that a VM lost from one whose caller had left.
@trio_test
async def test_answer_that_breaks_off() -> None:
    """Its connection is logged with the reason, and the request counts."""
    async with _requested('break_off') as (world, caller):
        await _break_off(world, caller)
        await until(lambda: bool(_logged(world.state, events.CONNECTION_LOST)))
        lost = _logged(world.state, events.CONNECTION_LOST)[0]
        assert lost.facts == {
            'reason': EndReason.ANSWER_BROKEN.value,
            'requests': 1,
            'phase': 'serving',
            'stopping_s': None,
            'discarded_b': 0,
        }
        reason = EndReason.ANSWER_BROKEN.value
        assert _count(world, 'requests_lost_total', reason=reason) == 1
        assert _lost_count(world) == 1


# The log of a process that ended by itself did not tell why.
@trio_test
async def test_exception_that_ends_the_process() -> None:
    """It is logged with its trace, and raised."""
    state = make_state()
    process = make_process(state, Mock())
    fault = ZeroDivisionError('a fault')
    with patch.object(EdgeProcess, '_start_tasks', side_effect=fault):
        with suppress(ExceptionGroup):
            await process.run()
    ended = _logged(state, events.ENDED)[0]
    assert 'a fault' in ended.facts['trace']


# Nothing told an answer that was cut from one of which no byte had been sent.
@trio_test
async def test_facts_of_an_answer_that_breaks_off() -> None:
    """They tell that it had begun, how old it was and its timeout."""
    async with _requested('break_off') as (world, caller):
        await _break_off(world, caller)
        await until(lambda: bool(_logged(world.state, events.REQUEST_ABORTED)))
        facts = _logged(world.state, events.REQUEST_ABORTED)[0].facts
        assert facts['has_begun']
        assert facts['after_s'] < facts['timeout_s']


# Nothing told what was read behind the last answer to no use.
@trio_test
async def test_body_behind_a_refusal() -> None:
    """Its bytes are counted, by the reason for the end."""
    async with running_edge('serve') as world:
        async with calling(world.state.settings.callers.port) as caller:
            length = ('content-length', f'{BODY_B}')
            await caller.send(raw_head('POST', '/unknown', length))
            assert (await caller.answer()).status == 404
            await caller.send(b'b' * BODY_B)
        await until(
            lambda: (
                _count(
                    world,
                    'connections_discarded_bytes_total',
                    reason=EndReason.CLOSED.value,
                )
                == BODY_B
            )
        )
