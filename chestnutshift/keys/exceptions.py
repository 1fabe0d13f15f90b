"""Errors about callers' keys; each refusal is given before anything runs."""

from typing import ClassVar

from chestnutshift.exceptions import CodedError

BAD_REQUEST = 400
UNAUTHORIZED = 401
UNAVAILABLE = 503
STALE_RETRY_AFTER_S = 2


class KeyRefusalError(CodedError):
    """A request refused, not run, because of its key.

    `status` is the HTTP status of the answer; `retry_after_s`, where set,
    tells the caller when to repeat the request.
    """

    code = 'keys.refused'
    status: ClassVar[int] = UNAUTHORIZED
    retry_after_s: ClassVar[int | None] = None


class MissingKeyError(KeyRefusalError):
    """The route needs a key and none came."""

    code = 'keys.missing'


class MalformedKeyError(KeyRefusalError):
    """The Authorization header is not `Bearer <key>`."""

    code = 'keys.malformed'
    status = BAD_REQUEST


class SeveralKeysError(KeyRefusalError):
    """More than one Authorization header came."""

    code = 'keys.several'
    status = BAD_REQUEST


class KeyInTargetError(KeyRefusalError):
    """The key stands in the path, which can't be cut."""

    code = 'keys.in_target'
    status = BAD_REQUEST


class UnknownKeyError(KeyRefusalError):
    """No account has this key."""

    code = 'keys.unknown'


class WithdrawnKeyError(KeyRefusalError):
    """An operator withdrew this key."""

    code = 'keys.withdrawn'


class StaleKeysError(KeyRefusalError):
    """This VM can't know whether the key was withdrawn meanwhile."""

    code = 'keys.stale'
    status = UNAVAILABLE
    retry_after_s = STALE_RETRY_AFTER_S
