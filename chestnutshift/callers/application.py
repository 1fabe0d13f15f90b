"""Dispatch on the callers' port to steering pages and services."""

import attrs

from chestnutshift.callers.entries import ENTRIES_PATH, EntriesPage
from chestnutshift.forwarding.application import Forwarder
from chestnutshift.forwarding.requests import Receive, Send

STEERING_PREFIX = '/steering/'


@attrs.frozen
class CallersApplication:
    """The ASGI application of the callers' port."""

    entries: EntriesPage
    steering: object
    forwarder: Forwarder

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Dispatch one request by its path."""
        await self._application(scope['path'])(scope, receive, send)

    def _application(self, path: str) -> object:
        if path == ENTRIES_PATH:
            return self.entries
        if path.startswith(STEERING_PREFIX):
            return self.steering
        return self.forwarder
