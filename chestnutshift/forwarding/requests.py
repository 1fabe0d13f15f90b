"""A caller's request, and its body as it arrives."""

import secrets
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from chestnutshift.configuration.model import Configuration, Service
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding.problems import Problem, RefusalError

REQUEST_ID_MAX = 64
REQUEST_ID_B = 8
DEADLINE_HEADER = b'chestnutshift-deadline-ms'
DEADLINE_DIGITS_MAX = 12
SAFE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_ID_CHARACTERS = frozenset(
    b'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.',
)

Headers = list[tuple[bytes, bytes]]
Receive = Callable[[], Awaitable[dict]]
Send = Callable[[dict], Awaitable[None]]


class CallerGoneError(CodedError):
    """The caller closed its connection before it had its answer."""

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
        """Whether the method can't change anything."""
        return self.method in SAFE_METHODS

    def header(self, name: bytes) -> bytes | None:
        """Return the first header of that lower-case name."""
        for found, text in self.headers:
            if found == name:
                return text
        return None

    def timeout_s(self, preset_s: float) -> float:
        """Return the seconds that the caller and the preset allow.

        Raises RefusalError for a deadline header that is no number.
        """
        asked = self.header(DEADLINE_HEADER)
        if asked is None:
            return preset_s
        if not asked.isdigit() or len(asked) > DEADLINE_DIGITS_MAX:
            raise RefusalError(
                Problem(
                    400,
                    'request.deadline',
                    'Chestnutshift-Deadline-Ms is milliseconds, a number',
                ),
            )
        return min(preset_s, int(asked) / 1000)


def read_request(scope: dict) -> CallerRequest:
    """Return the head that an ASGI scope carries, names in lower case."""
    headers = scope['headers']
    target = scope.get('raw_path') or scope['path'].encode()
    if scope['query_string']:
        target = b'%b?%b' % (target, scope['query_string'])
    given = next(
        (text for name, text in headers if name == b'x-request-id'), b''
    )
    return CallerRequest(
        request_id=_request_id(given),
        method=scope['method'],
        path=scope['path'],
        target=target,
        headers=headers,
    )


def _request_id(given: bytes) -> str:
    if 0 < len(given) <= REQUEST_ID_MAX and _ID_CHARACTERS.issuperset(given):
        return given.decode()
    return secrets.token_hex(REQUEST_ID_B)


def find_service(configuration: Configuration, path: str) -> Service:
    """Return the service of a path; raise RefusalError if there is none."""
    for service in configuration.services:
        if path == service.path or path.startswith(f'{service.path}/'):
            return service
    raise RefusalError(
        Problem(404, 'request.no_service', f'no service has the path {path}'),
    )


class RequestBody:
    """The body of a request, passed on as it arrives and counted."""

    def __init__(self, receive: Receive, limit_b: int) -> None:
        """Refuse more than limit_b bytes."""
        self._receive = receive
        self._limit_b = limit_b
        self._passed_b = 0
        self._first: dict = {}

    @property
    def passed_b(self) -> int:
        """Bytes passed on so far."""
        return self._passed_b

    async def first(self) -> bytes | None:
        """Return a body that came whole at once, None if more is to come.

        A body that came whole can be sent again. Only to be called once,
        before `chunks`.
        """
        message = await self._next()
        if message.get('more_body', False):
            self._first = message
            return None
        if len(message['body']) > self._limit_b:
            raise RefusalError(body_too_large(self._limit_b))
        return message.get('body', b'')

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body after `first` returned None."""
        message = self._first
        while True:
            chunk = message.get('body', b'')
            self._passed_b += len(chunk)
            if self._passed_b > self._limit_b:
                raise RefusalError(body_too_large(self._limit_b))
            if chunk:
                yield chunk
            if not message.get('more_body', False):
                break
            message = await self._next()

    async def _next(self) -> dict:
        message = await self._receive()
        if message['type'] == 'http.disconnect':
            raise CallerGoneError('the caller closed within its request')
        return message


def body_too_large(limit_b: int) -> Problem:
    """Return the refusal of a body over the limit."""
    return Problem(413, 'request.body', f'the body is over {limit_b} B')
