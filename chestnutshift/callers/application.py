"""Split the callers' port between the steering pages and the services."""

import attrs

from chestnutshift.forwarding.application import Forwarder
from chestnutshift.forwarding.requests import Receive, Send

STEERING_PREFIX = '/steering/'


@attrs.frozen
class CallersApplication:
    """The ASGI application of the callers' port."""

    steering: object
    forwarder: Forwarder

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection scope."""
        if scope['type'] == 'lifespan':
            await _live(receive, send)
            return
        if scope['type'] == 'websocket':
            # Closing without accepting refuses a websocket.
            await send({'type': 'websocket.close'})
            return
        steers = scope['path'].startswith(STEERING_PREFIX)
        application = self.steering if steers else self.forwarder
        await application(scope, receive, send)


async def _live(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        kind = message['type']
        await send({'type': f'{kind}.complete'})
        if kind == 'lifespan.shutdown':
            return
