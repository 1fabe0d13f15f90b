"""Requests that arrive at a chosen moment of a VM that is behind."""

import os
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from unittest.mock import patch

from tests.callers.clients import Caller, get

LATE = '/late'
LATE_BODY = b'GET /late '


def send_late(*callers: Caller) -> None:
    """Have a request of each arrive before any task of the VM runs again."""
    for caller in callers:
        os.write(caller.stream.socket.fileno(), get(LATE))


@contextmanager
def arriving_before(
    owner: type, method: str, *callers: Caller
) -> Iterator[None]:
    """Have requests arrive just before the next call of a method."""
    moments = [partial(send_late, *callers)]
    original = getattr(owner, method)

    def call(*args: object) -> object:
        if moments:
            moments.pop()()
        return original(*args)

    with patch.object(owner, method, call):
        yield


@contextmanager
def arriving_after(
    owner: type, method: str, *callers: Caller
) -> Iterator[None]:
    """Have requests arrive just after the next call of a method."""
    moments = [partial(send_late, *callers)]
    original = getattr(owner, method)

    def call(*args: object) -> object:
        outcome = original(*args)
        if moments:
            moments.pop()()
        return outcome

    with patch.object(owner, method, call):
        yield
