"""Requests on connections that are kept open, and how these end."""

import os
import time
import unittest
from contextlib import AsyncExitStack

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.callers.limits import WaitLimits
from chestnutshift.callers.transport import CallerTransport
from tests.callers.arrivals import arriving_after
from tests.callers.clients import calling, get
from tests.callers.serving import LIMITS, echo, serving

raises = unittest.TestCase().assertRaises

SLOW_HEAD = 408
IDLE_S = 0.3
# So many that an order of tasks that hides the fault is unlikely.
CALLERS = 12
PIPELINED = attrs.evolve(LIMITS, pipelined_max=3)


# LOST: the connection was closed without a word after an offer to upgrade, and
# the next request on it was read and got no answer.
@trio_test
async def test_offer_to_upgrade() -> None:
    """It is ignored: later requests on the connection are served."""
    async with serving(echo, PIPELINED) as port, calling(port.number) as caller:
        offer = get('/1', 'connection: upgrade', 'upgrade: h2c')
        await caller.send(offer + get('/2'))
        assert (await caller.answer()).body == b'GET /1 '
        assert (await caller.answer()).body == b'GET /2 '
        await caller.send(get('/3'))
        assert (await caller.answer()).body == b'GET /3 '


# LOST, MIXED: the head behind a request in progress at a stop was refused (408)
# behind an answer that had announced the end of the connection.
@trio_test
async def test_part_of_a_head_at_a_stop() -> None:
    """A request of which a part has arrived is served once it is whole."""
    async with serving(echo, PIPELINED) as port:
        async with calling(port.number) as caller:
            later = get('/2')
            await caller.send(get('/slow') + later[:20])
            await trio.sleep(0.1)
            port.listener.begin_stop(trio.current_time())
            first = await caller.answer()
            assert 'connection' not in first.headers
            await caller.send(later[20:])
            second = await caller.answer()
            assert second.body == b'GET /2 '
            assert second.headers['connection'] == 'close'
            assert await caller.read_end() == b''


@trio_test
async def test_part_of_a_head_that_stays_one() -> None:
    """It is refused (408) before the stop resets its connection."""
    limits = attrs.evolve(PIPELINED, grace_s=0.3)
    async with serving(echo, limits) as port:
        async with calling(port.number) as caller:
            await caller.send(get('/1')[:20])
            await trio.sleep(0.1)
            port.listener.begin_stop(trio.current_time())
            assert (await caller.answer()).status == SLOW_HEAD
            assert await caller.read_end() == b''


# LOST: an idle timeout that fired as a request arrived dropped the request.
@trio_test
async def test_request_that_arrives_with_the_timeout() -> None:
    """A VM that was busy meanwhile serves it."""
    limits = attrs.evolve(PIPELINED, idle_s=IDLE_S)
    async with serving(echo, limits) as port, AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(calling(port.number))
            for _ in range(CALLERS)
        ]
        for caller in callers:
            await caller.send(get('/1'))
            await caller.answer()
        # Nothing else runs: the VM is busy until after the timeout.
        for caller in callers:
            os.write(caller.stream.socket.fileno(), get('/2'))
        time.sleep(IDLE_S + 0.1)
        for caller in callers:
            assert (await caller.answer()).body == b'GET /2 '


# LOST: requests that crossed the close of an idle connection were read, for
# 2 s, and not answered: nobody could tell that they had not run.
@trio_test
async def test_request_that_crosses_the_close() -> None:
    """It is reset without being read."""
    limits = attrs.evolve(PIPELINED, idle_s=IDLE_S)
    async with serving(echo, limits) as port, calling(port.number) as caller:
        await caller.send(get('/1'))
        await caller.answer()
        assert await caller.read_end() == b''
        was_reset = False
        try:
            await caller.send(get('/2'))
            await trio.sleep(0.1)
            await caller.send(get('/3'))
        except trio.BrokenResourceError:
            was_reset = True
        assert was_reset


# LOST: a connection kept the idle timeout of the time when it became idle.
@trio_test
async def test_idle_timeout_that_becomes_longer() -> None:
    """An open connection may stay idle for the longer time."""
    waits = [WaitLimits(1, IDLE_S)]
    limits = attrs.evolve(PIPELINED, find_waits=lambda: waits[-1])
    async with serving(echo, limits) as port, calling(port.number) as caller:
        await caller.send(get('/1'))
        await caller.answer()
        waits.append(WaitLimits(1, 5))
        await trio.sleep(IDLE_S + 0.2)
        await caller.send(get('/2'))
        assert (await caller.answer()).body == b'GET /2 '


# LOST: a request that arrived between the last look at an idle connection and
# its close was read, and the connection ended as if nothing had come.
@trio_test
async def test_request_between_look_and_close() -> None:
    """It is reset without being read."""
    limits = attrs.evolve(PIPELINED, idle_s=IDLE_S)
    async with serving(echo, limits) as port, calling(port.number) as caller:
        await caller.send(get('/1'))
        await caller.answer()
        looked = arriving_after(CallerTransport, '_has_arrived', caller)
        with looked, raises(trio.BrokenResourceError):
            await caller.read_end()
