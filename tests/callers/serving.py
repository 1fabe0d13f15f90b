"""A callers' port that serves a small application."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

from chestnutshift.callers.connection import Application
from chestnutshift.callers.limits import CallerLimits
from chestnutshift.callers.listener import CallersListener, open_listeners
from tests.enforcement import enforced

LIMITS = CallerLimits(header_limit_b=4096, grace_s=10)
# Only for tests of slow callers: on a busy machine any caller may be slow.
SHORT_TIMEOUTS = attrs.evolve(LIMITS, header_timeout_s=0.3, body_timeout_s=0.3)


@attrs.define
class Port:
    """A callers' port and the events of its stop."""

    number: int
    listener: CallersListener
    stopping: trio.Event
    stopped: trio.Event


@asynccontextmanager
async def serving(
    application: Application,
    limits: CallerLimits = LIMITS,
) -> AsyncIterator[Port]:
    """Serve the application for the block, with invariants enforced."""
    listeners = await open_listeners('127.0.0.1', 0)
    number = listeners[0].socket.getsockname()[1]
    listener = CallersListener(application, limits)
    port = Port(number, listener, trio.Event(), trio.Event())

    async def run() -> None:
        await listener.serve(listeners, port.stopping)
        port.stopped.set()

    with enforced():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run)
            yield port
            nursery.cancel_scope.cancel()


async def echo(scope, receive, send) -> None:
    """Answer with method, path and body; `/slow` streams its answer."""
    body = b''
    more = True
    while more:
        message = await receive()
        body += message['body']
        more = message['more_body']
    content = b'%s %s %s' % (
        scope['method'].encode(),
        scope['raw_path'],
        body,
    )
    await send({'type': 'http.response.start', 'status': 200, 'headers': []})
    if scope['path'] == '/slow':
        for _ in range(5):
            part = {'type': 'http.response.body', 'body': b'part '}
            await send({**part, 'more_body': True})
            await trio.sleep(0.1)
    await send({'type': 'http.response.body', 'body': content})
