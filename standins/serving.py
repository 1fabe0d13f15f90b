"""Code that both stand-ins share: settings, signals, requests and answers."""

import argparse
import json
import signal
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, unquote

import attrs
import trio
from hypercorn.config import Config
from hypercorn.protocol.events import StreamClosed

KEEP_ALIVE_S = 300
KEEP_ALIVE_REQUESTS = 10**12

Headers = tuple[tuple[bytes, bytes], ...]
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]


@attrs.frozen
class Answer:
    """A JSON answer; if body is given, it is sent instead of the payload."""

    status: int
    payload: Any = None
    headers: Headers = ()
    body: bytes | None = None

    async def send(self, send: Send) -> None:
        """Send the whole answer."""
        body = self.body or json.dumps(self.payload).encode()
        await start_answer(send, self.status, len(body), self.headers)
        await send({'type': 'http.response.body', 'body': body})


def parse_query(scope: Scope) -> dict[str, str]:
    """Return the decoded query parameters; a repeated name keeps its last."""
    query = scope['query_string'].decode('ascii')
    return dict(parse_qsl(query, keep_blank_values=True)) if query else {}


def parse_path(scope: Scope) -> tuple[str, ...]:
    """Return the path's decoded segments, which may contain slashes."""
    segments = scope['raw_path'].decode('ascii').split('/')[1:]
    return tuple(unquote(segment) for segment in segments)


async def read_body(receive: Receive) -> bytes:
    """Return the whole body; raise BrokenResourceError on a disconnect."""
    body = b''
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise trio.BrokenResourceError
        body += message['body']
        more = message['more_body']
    return body


async def start_answer(send: Send, status: int, length: int, headers: Headers):
    """Send the status and headers of an answer; length is in bytes."""
    content_length = (b'content-length', str(length).encode())
    start = {'type': 'http.response.start', 'status': status}
    await send({**start, 'headers': [content_length, *headers]})


async def close_connection(send: Send) -> None:
    """Close the connection before the answer is complete.

    ASGI has no message for this, and Hypercorn sends a status 500 if the
    application returns early, so this closes Hypercorn's stream directly.
    """
    stream = send.__self__  # type: ignore[attr-defined]
    stream.closed = True
    await stream.send(StreamClosed(stream_id=stream.stream_id))


def server_config(address: str, port: int) -> Config:
    """Return a Hypercorn configuration for one plain HTTP listener."""
    config = Config()
    config.bind = [f'{address}:{port}']
    config.loglevel = 'ERROR'
    config.keep_alive_timeout = KEEP_ALIVE_S
    config.keep_alive_max_requests = KEEP_ALIVE_REQUESTS
    return config


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)


def main(run: Callable[[dict[str, Any]], Awaitable[None]]) -> None:
    """Run a stand-in with the settings file given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--settings', required=True, help='a TOML file')
    with open(parser.parse_args().settings, 'rb') as toml:
        settings = tomllib.load(toml)
    trio.run(run, settings)
