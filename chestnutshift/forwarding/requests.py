"""Callers' requests: the head, and the body as it arrives."""

import math
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Protocol

import attrs

from chestnutshift.configuration.model import Configuration, Service
from chestnutshift.decimals import UnreadableNumberError, read_decimal
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.keys.credentials import read_key
from chestnutshift.keys.exceptions import KeyRefusalError
from chestnutshift.keys.redaction import KeyDetector

REQUEST_ID_MAX = 64
REQUEST_ID_B = 8
# A part of a buffered body that is sent at a time.
CHUNK_B = 65_536
DEADLINE_HEADER = b'chestnutshift-deadline-ms'
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_ID_CHARACTERS = frozenset(
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.',
)

Headers = list[tuple[bytes, bytes]]
Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class BodyAccount(Protocol):
    """Counts the bytes of a body that are buffered."""

    def reserve(self, more_b: int) -> None:
        """Count more bytes; raises CodedError if the body is refused."""

    def release(self) -> None:
        """Count none any more."""


class _NoAccount:
    """Counts nothing, and refuses nothing."""

    def reserve(self, _more_b: int) -> None:
        """Do nothing."""

    def release(self) -> None:
        """Do nothing."""


_NO_ACCOUNT = _NoAccount()


class CallerDisconnectedError(CodedError):
    """The caller disconnected before its answer was complete."""

    code = 'forwarding.caller_gone'


@attrs.frozen
class CallerRequest:
    """The head of a caller's request."""

    request_id: str
    method: str
    path: str
    target: bytes
    headers: Headers

    @property
    def is_safe(self) -> bool:
        """Whether the method is safe, that is, read-only."""
        return self.method in SAFE_METHODS

    def header(self, name: bytes) -> bytes | None:
        """Return the value of the first header with that lower-case name."""
        for header_name, text in self.headers:
            if header_name == name:
                return text
        return None

    def timeout_s(self, preset_s: float) -> float:
        """Return the lower of the caller's and the preset's limit.

        Raises RefusalError if the deadline header is not a number.
        """
        limit_ms = self.header(DEADLINE_HEADER)
        if limit_ms is None:
            return preset_s
        try:
            deadline_ms = read_decimal(limit_ms.decode('latin-1'), math.inf)
        except UnreadableNumberError as error:
            raise RefusalError(
                Problem(
                    400,
                    'request.deadline',
                    f'Chestnutshift-Deadline-Ms: {error.detail}',
                ),
            ) from error
        return min(preset_s, deadline_ms / 1000)


def read_request(scope: dict) -> CallerRequest:
    """Return the request head of an ASGI scope, names in lower case."""
    headers = scope['headers']
    target = scope.get('raw_path') or scope['path'].encode()
    if scope['query_string']:
        target = b'%b?%b' % (target, scope['query_string'])
    received_id = next(
        (text for name, text in headers if name == b'x-request-id'), b''
    )
    return CallerRequest(
        request_id=_request_id(received_id, headers),
        method=scope['method'],
        path=scope['path'],
        target=target,
        headers=headers,
    )


def _request_id(received_id: bytes, headers: Headers) -> str:
    has_valid_length = 0 < len(received_id) <= REQUEST_ID_MAX
    if not has_valid_length or not _ID_CHARACTERS.issuperset(received_id):
        return secrets.token_hex(REQUEST_ID_B)
    if _contains_key(received_id, headers):
        # Events and logs contain the id and must not contain keys.
        return secrets.token_hex(REQUEST_ID_B)
    return received_id.decode()


def _contains_key(text: bytes, headers: Headers) -> bool:
    try:
        key = read_key(headers)
    except KeyRefusalError:
        return False
    return key is not None and KeyDetector(key).finds_in(text)


def find_service(configuration: Configuration, path: str) -> Service:
    """Return the service of a path; raise RefusalError if there is none."""
    for service in configuration.services:
        if path == service.path or path.startswith(f'{service.path}/'):
            return service
    raise RefusalError(
        Problem(404, 'request.no_service', f'no service has the path {path}'),
    )


class RequestBody:
    """The body of a request: buffered if short, else streamed."""

    def __init__(
        self,
        receive: Receive,
        limit_b: int,
        account: BodyAccount = _NO_ACCOUNT,
    ) -> None:
        """Read the body with the ASGI callable, up to limit_b bytes."""
        self._receive = receive
        self._account = account
        self._limit_b = limit_b
        self._received_b = 0
        self._content = bytearray()
        self._complete_body: bytes | None = None
        self._is_streaming = False
        self._is_read = False

    @property
    def buffered(self) -> bytes | None:
        """The complete body if it is buffered, so that it can be resent."""
        return self._complete_body

    @property
    def is_streaming(self) -> bool:
        """Whether `chunks` has begun, so that the body can't be resent."""
        return self._is_streaming

    async def buffer(self, max_b: int) -> None:
        """Buffer the body until it is complete or exceeds max_b bytes.

        Raises CallerDisconnectedError, RefusalError for a body over the limit,
        and what the account raises.
        """
        while self._received_b <= max_b and not self._is_read:
            self._keep(await self._next())
        if self._is_read:
            self._complete_body = bytes(self._content)
            self._content.clear()

    def prefix(self, size_b: int) -> bytes:
        """Return the first size_b bytes of a body that is not sent yet."""
        if self._complete_body is not None:
            return self._complete_body[:size_b]
        return bytes(self._content[:size_b])

    def drop(self) -> None:
        """Free what is buffered; the body can't be sent any more."""
        self._content.clear()
        self._complete_body = None
        self._account.release()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield a body that is too long for `buffer`; usable only once."""
        self._is_streaming = True
        while self._content:
            chunk = bytes(self._content[:CHUNK_B])
            del self._content[:CHUNK_B]
            yield chunk
        self._account.release()
        while not self._is_read:
            chunk = await self._next()
            if chunk:
                yield chunk

    def _keep(self, chunk: bytes) -> None:
        if chunk:
            self._account.reserve(len(chunk))
            self._content += chunk

    async def _next(self) -> bytes:
        message = await self._receive()
        if message['type'] == 'http.disconnect':
            raise CallerDisconnectedError(
                'the caller disconnected before its request was complete'
            )
        chunk = message.get('body', b'')
        self._received_b += len(chunk)
        if self._received_b > self._limit_b:
            raise RefusalError(body_too_large(self._limit_b))
        if not message.get('more_body', False):
            self._is_read = True
        return chunk


def body_too_large(limit_b: int) -> Problem:
    """Return the refusal of a body that exceeds the limit."""
    return Problem(413, 'request.body', f'the body exceeds {limit_b} B')
