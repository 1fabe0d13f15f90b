"""ASGI server on a loopback port for tests."""

import contextlib
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import trio
from hypercorn.trio import serve

from standins.serving import server_config


@contextlib.asynccontextmanager
async def serving(app: Any) -> AsyncIterator[str]:
    """Serve the application; yield its URL."""
    async with trio.open_nursery() as nursery:
        start = partial(serve, app, server_config('127.0.0.1', 0))
        urls = await nursery.start(start)
        yield urls[0]
        nursery.cancel_scope.cancel()
