"""Errors about callers' keys. A request refused with one has not run."""

from typing import ClassVar

from chestnutshift.exceptions import CodedError

BAD_REQUEST = 400
UNAUTHORIZED = 401
UNAVAILABLE = 503
STALE_RETRY_AFTER_S = 2


class KeyRefusalError(CodedError):
    """A request was refused, not run, because of its key.

    `status` is the HTTP status of the answer. If `retry_after_s` is set, the
    caller is asked to repeat the request after that time.
    """

    code = 'keys.refused'
    status: ClassVar[int] = UNAUTHORIZED
    retry_after_s: ClassVar[int | None] = None


class MissingKeyError(KeyRefusalError):
    """The route requires a key and the request has none."""

    code = 'keys.missing'


class MalformedKeyError(KeyRefusalError):
    """The Authorization header is not `Bearer <key>`."""

    code = 'keys.malformed'
    status = BAD_REQUEST


class SeveralKeysError(KeyRefusalError):
    """The request has more than one Authorization header."""

    code = 'keys.several'
    status = BAD_REQUEST


class KeyInTargetError(KeyRefusalError):
    """The path contains the key, which can't be redacted there."""

    code = 'keys.in_target'
    status = BAD_REQUEST


class UnknownKeyError(KeyRefusalError):
    """No client account has this key."""

    code = 'keys.unknown'


class WithdrawnKeyError(KeyRefusalError):
    """An operator withdrew this key."""

    code = 'keys.withdrawn'


class StaleKeysError(KeyRefusalError):
    """This VM can't know whether the key has been withdrawn."""

    code = 'keys.stale'
    status = UNAVAILABLE
    retry_after_s = STALE_RETRY_AFTER_S
