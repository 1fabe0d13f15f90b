"""Requests that arrive as their idle connection gives way to a new one."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from unittest.mock import patch

import attrs
from trio.testing import trio_test

from chestnutshift.callers import listener as listener_module
from chestnutshift.callers.listener import CallersListener
from chestnutshift.callers.request_reader import RequestReader
from tests.callers.arrivals import (
    LATE_BODY,
    arriving_after,
    arriving_before,
)
from tests.callers.clients import Caller, calling, get
from tests.callers.serving import LIMITS, Port, echo, serving

LIMIT = 3
PIPELINED = attrs.evolve(LIMITS, connections_max=LIMIT, pipelined_max=3)


@asynccontextmanager
async def _full_port() -> AsyncIterator[tuple[Port, list[Caller]]]:
    """Serve at the limit; yield the idle callers, the oldest first."""
    async with AsyncExitStack() as stack:
        stack.enter_context(patch.object(listener_module, 'IDLE_MIN_S', 0))
        port = await stack.enter_async_context(serving(echo, PIPELINED))
        callers = [
            await stack.enter_async_context(calling(port.number))
            for _ in range(LIMIT)
        ]
        for caller in callers:
            assert await _ask(caller) == b'GET /1 '
        yield port, callers


async def _ask(caller: Caller) -> bytes:
    await caller.send(get('/1'))
    return (await caller.answer()).body


# LOST: the connection idle longest was closed though a request had arrived on
# it, which a VM that is behind had not read yet.
@trio_test
async def test_request_before_the_choice() -> None:
    """A connection on which nothing has arrived gives way instead."""
    async with _full_port() as (port, callers):
        *asking, idle = callers
        with arriving_before(CallersListener, '_make_room', *asking):
            async with calling(port.number) as newer:
                assert await _ask(newer) == b'GET /1 '
                for caller in asking:
                    assert (await caller.answer()).body == LATE_BODY
                assert await idle.read_end() == b''
                # They are kept.
                assert await _ask(asking[0]) == b'GET /1 '


# LOST: a request that arrived between the choice of its idle connection and
# the close was read and got no answer.
@trio_test
async def test_request_after_the_choice() -> None:
    """It is answered, and its answer announces the end."""
    async with _full_port() as (port, callers):
        with arriving_after(RequestReader, 'drop', callers[0]):
            async with calling(port.number) as newer:
                assert await _ask(newer) == b'GET /1 '
                late = await callers[0].answer()
                assert late.body == LATE_BODY
                assert late.headers['connection'] == 'close'
                assert await callers[0].read_end() == b''
                assert await _ask(callers[1]) == b'GET /1 '
