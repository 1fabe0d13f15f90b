"""Parsing of the Idempotency-Key header.

The header is a structured-field string (RFC 9651), as in the IETF draft of
Idempotency-Key: `Idempotency-Key: "8e03978e"`. The form without quotes is
accepted as well and gives the same key.
"""

import re

from chestnutshift.idempotency.exceptions import (
    MalformedIdempotencyKeyError,
    MissingIdempotencyKeyError,
)

HEADER_NAME = b'idempotency-key'
KEY_LENGTH_MAX = 192
_BARE_KEY = re.compile(rb'[A-Za-z0-9._~:+/=-]+')
_QUOTED_KEY = re.compile(rb'"((?:[!#-\[\]-~]|\\["\\])+)"')
_ESCAPED = re.compile(rb'\\(["\\])')


def read_idempotency_key(headers: list[tuple[bytes, bytes]]) -> str:
    """Return the key, which has only visible ASCII characters.

    Raises MissingIdempotencyKeyError and MalformedIdempotencyKeyError.
    """
    values = [value for name, value in headers if name.lower() == HEADER_NAME]
    if not values:
        raise MissingIdempotencyKeyError(
            'not run: this service requires an Idempotency-Key header',
        )
    if len(values) > 1:
        raise MalformedIdempotencyKeyError(
            'not run: send exactly one Idempotency-Key header',
        )
    key = _parse(values[0].strip(b' \t'))
    if not key or len(key) > KEY_LENGTH_MAX:
        raise MalformedIdempotencyKeyError(
            'not run: an Idempotency-Key is a quoted string of 1 to '
            f'{KEY_LENGTH_MAX} visible ASCII characters',
        )
    return key.decode('ascii')


def _parse(text: bytes) -> bytes:
    if _BARE_KEY.fullmatch(text):
        return text
    quoted = _QUOTED_KEY.fullmatch(text)
    if quoted is None:
        return b''
    return _ESCAPED.sub(rb'\1', quoted.group(1))
