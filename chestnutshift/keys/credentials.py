"""Parsing, generation and digests of callers' keys."""

import hashlib
import re
import secrets

from chestnutshift.keys.exceptions import MalformedKeyError, SeveralKeysError

KEY_BYTES = 32
# Prefix of generated keys, by which they are recognized in any text.
KEY_PREFIX = 'csk_'
KEY_LENGTH_MIN = 16
KEY_LENGTH_MAX = 256
# The characters of a bearer token (RFC 6750).
_BEARER_TOKEN = re.compile(rb'[A-Za-z0-9._~+/-]+=*')

Headers = list[tuple[bytes, bytes]]


def read_key(headers: Headers) -> str | None:
    """Return the key in the Authorization header, None without a header.

    Raises SeveralKeysError and MalformedKeyError. Their texts don't quote the
    header's value, which may be a key.
    """
    values = [value for name, value in headers if _is_authorization(name)]
    if not values:
        return None
    if len(values) > 1:
        raise SeveralKeysError('send exactly one Authorization header')
    scheme, _, token = values[0].strip().partition(b' ')
    token = token.strip()
    if scheme.lower() != b'bearer' or not _BEARER_TOKEN.fullmatch(token):
        raise MalformedKeyError('send Authorization: Bearer <key>')
    if not KEY_LENGTH_MIN <= len(token) <= KEY_LENGTH_MAX:
        raise MalformedKeyError(
            f'a key has {KEY_LENGTH_MIN} to {KEY_LENGTH_MAX} characters',
        )
    return token.decode('ascii')


def digest(key: str) -> str:
    """Return the SHA-256 digest of the key in hexadecimal."""
    return hashlib.sha256(key.encode('ascii', 'replace')).hexdigest()


def generate() -> str:
    """Return a new random key that is safe as a secret."""
    return f'{KEY_PREFIX}{secrets.token_urlsafe(KEY_BYTES)}'


def _is_authorization(name: bytes) -> bool:
    return len(name) == len('authorization') and (
        name.lower() == b'authorization'
    )
