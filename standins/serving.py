"""What both stand-ins share: settings, signals, answers, broken answers."""

import json
import logging
import signal
import tomllib
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
import trio
from hypercorn.config import Config
from hypercorn.protocol.events import StreamClosed

KEEP_ALIVE_S = 300
STOP_GRACE_S = 5
MAX_KEEP_ALIVE_REQUESTS = 10**12

Header = tuple[bytes, bytes]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


class DisconnectedError(Exception):
    """The client closed the connection before its request was whole."""


def load_settings(path: str) -> dict[str, Any]:
    """Read a TOML file."""
    with open(path, 'rb') as toml:
        return tomllib.load(toml)


def log_errors_only() -> None:
    """Leave only errors in the log."""
    logging.basicConfig(level=logging.ERROR)
    logging.getLogger('hypercorn.error').setLevel(logging.ERROR)


def server_config(address: str, port: int) -> Config:
    """Return Hypercorn's settings for one plain HTTP listener."""
    config = Config()
    config.bind = [f'{address}:{port}']
    config.loglevel = 'ERROR'
    config.backlog = 1024
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.graceful_timeout = STOP_GRACE_S
    config.include_server_header = False
    return config


async def wait_for_stop_signal() -> None:
    """Return on SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)


async def answer_lifespan(receive: Receive, send: Send) -> None:
    """Complete the server's start-up and shutdown events."""
    for _ in range(2):
        message = await receive()
        await send({'type': f'{message["type"]}.complete'})


async def read_body(receive: Receive) -> bytes:
    """Return the whole body; raise DisconnectedError if it breaks off."""
    chunks = [chunk async for chunk in body_chunks(receive)]
    return b''.join(chunks)


async def body_chunks(receive: Receive):
    """Iterate over the body's chunks as they come."""
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise DisconnectedError
        yield message['body']
        more = message['more_body']


async def answer(
    send: Send,
    status: int,
    payload: Any,
    headers: Iterable[Header] = (),
) -> None:
    """Send a whole JSON answer."""
    await answer_bytes(
        send,
        status,
        json.dumps(payload).encode(),
        [(b'content-type', b'application/json'), *headers],
    )


async def answer_bytes(
    send: Send,
    status: int,
    body: bytes,
    headers: Iterable[Header] = (),
) -> None:
    """Send a whole answer."""
    length = (b'content-length', str(len(body)).encode())
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [length, *headers],
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def close_connection(send: Send) -> None:
    """Close the connection without the rest of the answer.

    ASGI has no message for this, so it goes to Hypercorn's stream itself,
    which would send a status 500 if the application merely returned.
    """
    stream = send.__self__  # type: ignore[attr-defined]
    stream.closed = True
    await stream.send(StreamClosed(stream_id=stream.stream_id))


def change(faults: Any, payload: dict[str, Any]) -> Any:
    """Return the faults with the given ones changed; unknown names raise."""
    return attrs.evolve(faults, **payload)
