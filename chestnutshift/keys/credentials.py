"""Read a key from a request, make new keys, and digest them."""

import hashlib
import re
import secrets

from chestnutshift.keys.exceptions import MalformedKeyError, SeveralKeysError

KEY_BYTES = 32
# Marks generated keys, so that one can be recognised wherever it stands.
KEY_PREFIX = 'csk_'
KEY_LENGTH_MIN = 16
KEY_LENGTH_MAX = 256
# The characters of a bearer token (RFC 6750).
_BEARER_TOKEN = re.compile(rb'[A-Za-z0-9._~+/-]+=*')

Headers = list[tuple[bytes, bytes]]


def read_key(headers: Headers) -> str | None:
    """Return the key of the one Authorization header, None without any.

    Raises SeveralKeysError and MalformedKeyError; neither repeats the
    header's value, which may be a key.
    """
    found = [value for name, value in headers if _is_authorization(name)]
    if not found:
        return None
    if len(found) > 1:
        raise SeveralKeysError('send exactly one Authorization header')
    scheme, _, token = found[0].strip().partition(b' ')
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
    """Return a new key from the system's source of secrets."""
    return f'{KEY_PREFIX}{secrets.token_urlsafe(KEY_BYTES)}'


def _is_authorization(name: bytes) -> bool:
    return len(name) == len('authorization') and (
        name.lower() == b'authorization'
    )
