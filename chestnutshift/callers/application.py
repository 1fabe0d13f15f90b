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
        """Serve one request."""
        steers = scope['path'].startswith(STEERING_PREFIX)
        application = self.steering if steers else self.forwarder
        await application(scope, receive, send)
