"""Upstreams that end under a crashing request and start again."""

import attrs
import trio

from chestnutshift.callers.listener import CallersListener, open_listeners
from chestnutshift.forwarding.requests import Send
from tests.edge.stand_ins import LIMITS, UpstreamStandIn
from tests.edge.world import World

# A request whose path contains this ends each upstream that runs it, and one
# with the other mark does so midway through a long answer.
CRASH_MARK = 'crash'
MIDWAY_MARK = 'midway'
# The answer to a request with this one lasts until the upstream ends.
LONG_MARK = 'long'
ANSWER_B = 600_000
SENT_B = 400_000
RESTART_S = 0.3
MIDWAY_S = 0.05


@attrs.define
class MortalUpstream:
    """An upstream whose process ends under a crashing request.

    It starts again after RESTART_S at the same address, under another id.
    ended counts its ends, arrivals the crashing requests that reached it, and
    downloads the long answers that it began.
    """

    world: World
    name: str
    port: int = 0
    ended: int = 0
    arrivals: int = 0
    downloads: int = 0
    _crash: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Serve one run after the other, until cancelled."""
        while True:
            await self._run_once(f'{self.name}-{self.ended}')
            await trio.sleep(RESTART_S)

    def end(self) -> None:
        """End the process for another reason than a request."""
        self._crash.set()

    async def _run_once(self, run_name: str) -> None:
        serve = UpstreamStandIn(run_name)
        crash = trio.Event()
        self._crash = crash

        async def serve_or_crash(scope, receive, send) -> None:
            if LONG_MARK in scope['path']:
                self.downloads += 1
                await _begin_answer(scope, send)
                await trio.sleep_forever()
            if CRASH_MARK not in scope['path']:
                await serve(scope, receive, send)
                return
            self.arrivals += 1
            if MIDWAY_MARK in scope['path']:
                await _begin_answer(scope, send)
                await trio.sleep(MIDWAY_S)
            crash.set()
            await trio.sleep_forever()

        listeners = await open_listeners('127.0.0.1', self.port)
        self.port = listeners[0].socket.getsockname()[1]
        self.world.register(serve, self.port)
        async with trio.open_nursery() as nursery:
            listener = CallersListener(serve_or_crash, LIMITS)
            nursery.start_soon(listener.serve, listeners, trio.Event())
            await crash.wait()
            nursery.cancel_scope.cancel()
        for one in listeners:
            one.socket.close()
        self.ended += 1
        self.world.store.remove('servers', run_name)


async def _begin_answer(scope: dict, send: Send) -> None:
    """Send a part of a long answer."""
    headers = dict(scope['headers'])
    named = b'x-chestnutshift-request-id'
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [
                (named, headers[named]),
                (b'x-chestnutshift-server-seal', b's'),
                (b'content-length', b'%d' % ANSWER_B),
            ],
        }
    )
    part = {'body': b'm' * SENT_B, 'more_body': True}
    await send({'type': 'http.response.body', **part})
