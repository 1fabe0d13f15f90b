"""Slope of look-ups over HTTP, with a stand-in for a VM's application."""

import contextlib
import socket
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Iterator
from http.client import HTTPConnection

from bench.capacity.fits import Point
from bench.capacity.slopes import SECONDS, slope

LOOPBACK = '127.0.0.1'
STAND_IN_MODULE = 'bench.capacity.http_stand_in'
PROCESSOR_PATH = '/processor'
LOOKUP_PATH = '/steering/entries'
REQUEST_COUNTS = (1_000, 2_000, 4_000)
WARM_UP = 500
START_TIMEOUT_S = 20.0
RETRY_INTERVAL_S = 0.1


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return probe.getsockname()[1]


def _connect(port: int) -> HTTPConnection:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        connection = HTTPConnection(LOOPBACK, port)
        with contextlib.suppress(ConnectionRefusedError):
            connection.connect()
            return connection
        time.sleep(RETRY_INTERVAL_S)
    raise TimeoutError('the HTTP stand-in accepted no connection in time')


@contextlib.contextmanager
def _run_stand_in() -> Iterator[HTTPConnection]:
    port = _free_port()
    command = [sys.executable, '-m', STAND_IN_MODULE, str(port)]
    with subprocess.Popen(command) as process:  # noqa: S603
        try:
            yield _connect(port)
        finally:
            process.terminate()


def _get(connection: HTTPConnection, path: str) -> bytes:
    connection.request('GET', path)
    return connection.getresponse().read()


def _time_lookups(connection: HTTPConnection, count: int) -> float:
    before = float(_get(connection, PROCESSOR_PATH))
    for _ in range(count):
        _get(connection, LOOKUP_PATH)
    return float(_get(connection, PROCESSOR_PATH)) - before


@slope('http_answer', 'look-ups over HTTP (stand-in)', 'look-up', SECONDS)
def measure_http_answer() -> list[Point]:
    """Measure the stand-in's processor time for sequential look-ups."""
    with _run_stand_in() as connection:
        _time_lookups(connection, WARM_UP)
        return [
            Point(count, _time_lookups(connection, count))
            for count in REQUEST_COUNTS
        ]
