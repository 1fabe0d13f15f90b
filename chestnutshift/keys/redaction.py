"""Take a caller's key out of what goes to an upstream.

Detected, in any header name or value, cookie, query parameter, trailer and
in the path, whatever stands around it and in any mix of letter case:

- the key itself, also with whitespace, quotes or backslashes put inside;
- percent-encoded wholly or partly, up to LAYERS_MAX times over; anything
  encoded more often is treated as if it held the key;
- in hexadecimal;
- in base64, either alphabet, with any text around the key (`user:key`).

Keys made by `credentials.generate` are recognised by their prefix as well,
also another account's, or on a route open to all where no key was read; of
these only the first two spellings are detected.

Not detected: a key split over several headers or parameters, compressed,
encrypted, reversed, in base64 twice, or in the body, which is not altered.
"""

import base64
import re
from urllib.parse import unquote_to_bytes

import attrs

from chestnutshift.invariants.registry import KEY_SECRECY, verify
from chestnutshift.keys.credentials import Headers
from chestnutshift.keys.exceptions import KeyInTargetError

LAYERS_MAX = 5
# Base64 turns 3 bytes into 4 characters, so a text inside a longer one has
# 3 possible spellings; the characters at both ends depend on neighbours.
_GROUP_BYTES = 3
_CREDENTIAL_NAMES = frozenset((b'authorization', b'proxy-authorization'))
# Not deleted by folding, so that two parts never join up to a key.
_SEPARATOR = b'\x00'
_IGNORED = b' \t\r\n"\'\\'
# A generated key after folding: its prefix and 32 bytes in base64.
_PREFIX = b'csk/'
_GENERATED = re.compile(rb'csk/[a-z0-9+/]{43}')
_FOLDING = bytes.maketrans(
    b'ABCDEFGHIJKLMNOPQRSTUVWXYZ-_',
    b'abcdefghijklmnopqrstuvwxyz+/',
)


@attrs.frozen
class RedactedHead:
    """A head without the key, and the names of what was taken out.

    The names of the credential headers, which are always taken out, are not
    listed.
    """

    query: bytes
    headers: Headers
    removed: tuple[str, ...] = ()


class KeyDetector:
    """Recognise a key in the spellings that this module lists.

    One detector serves one request; it must not outlive it, as it holds the
    key itself.
    """

    def __init__(self, key: str | None) -> None:
        """Work out the spellings of the key, if one was read."""
        self._needles: tuple[bytes, ...] = ()
        if key is None:
            return
        raw = key.encode('ascii')
        self._needles = (
            _fold(raw),
            _fold(raw.hex().encode('ascii')),
            *(_fold(core) for core in _base64_cores(raw)),
        )

    def finds_in(self, *parts: bytes) -> bool:
        """Tell whether any of the parts holds the key."""
        text = _SEPARATOR.join(parts)
        if self._matches(text):
            return True
        return b'%' in text and self._matches_decoded(text)

    def _matches(self, text: bytes) -> bool:
        folded = _fold(text)
        if any(needle in folded for needle in self._needles):
            return True
        return _PREFIX in folded and bool(_GENERATED.search(folded))

    def _matches_decoded(self, text: bytes) -> bool:
        for _ in range(LAYERS_MAX):
            decoded = unquote_to_bytes(text)
            if decoded == text:
                return False
            text = decoded
            if self._matches(text):
                return True
        return unquote_to_bytes(text) != text


def redact_key(
    detector: KeyDetector,
    path: bytes,
    query: bytes,
    headers: Headers,
) -> RedactedHead:
    """Return the query and headers without the key.

    The path is as it came, still encoded. Raises KeyInTargetError when the
    path holds the key.
    """
    plain = drop_credentials(headers)
    if not detector.finds_in(path, query, *_flatten(plain)):
        return RedactedHead(query, plain)
    if detector.finds_in(path):
        raise KeyInTargetError('not run: the path must not hold the key')
    query, removed_parameters = _hide_in_query(detector, query)
    kept, removed_headers = _hide_in_headers(detector, plain)
    return RedactedHead(query, kept, (*removed_parameters, *removed_headers))


def hide_in_trailers(detector: KeyDetector, trailers: Headers) -> Headers:
    """Return the trailers without the key."""
    plain = drop_credentials(trailers)
    kept, _ = _hide_in_headers(detector, plain)
    return kept


def drop_credentials(headers: Headers) -> Headers:
    """Return the headers without those that carry credentials."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _CREDENTIAL_NAMES
    ]


def verify_hidden(
    detector: KeyDetector,
    target: bytes,
    headers: Headers,
) -> bool:
    """Assert on a finished outbound head that it doesn't hold the key."""
    return verify(
        KEY_SECRECY,
        holds=len(drop_credentials(headers)) == len(headers)
        and not detector.finds_in(target, *_flatten(headers)),
        detail='an outbound head holds the key of its caller',
    )


def _fold(text: bytes) -> bytes:
    return text.translate(_FOLDING, _IGNORED)


def _flatten(headers: Headers) -> list[bytes]:
    return [part for header in headers for part in header]


def _base64_cores(raw: bytes) -> list[bytes]:
    cores = []
    for offset in range(_GROUP_BYTES):
        skipped = (_GROUP_BYTES - offset) % _GROUP_BYTES
        whole = len(raw) - (len(raw) - skipped) % _GROUP_BYTES
        cores.append(base64.b64encode(raw[skipped:whole]))
    return cores


def _hide_in_query(
    detector: KeyDetector,
    query: bytes,
) -> tuple[bytes, list[str]]:
    kept = []
    removed = []
    for parameter in query.split(b'&'):
        if detector.finds_in(parameter):
            removed.append('query')
        else:
            kept.append(parameter)
    return b'&'.join(kept), removed


def _hide_in_headers(
    detector: KeyDetector,
    headers: Headers,
) -> tuple[Headers, list[str]]:
    kept = []
    removed = []
    for name, value in headers:
        if not detector.finds_in(name, value):
            kept.append((name, value))
            continue
        if detector.finds_in(name):
            removed.append('header name')
            continue
        removed.append(name.decode('latin-1').lower())
        cookies = _hide_in_cookies(detector, name, value)
        if cookies:
            kept.append((name, cookies))
    return kept, removed


def _hide_in_cookies(
    detector: KeyDetector,
    name: bytes,
    value: bytes,
) -> bytes:
    if name.lower() != b'cookie':
        return b''
    return b';'.join(
        cookie
        for cookie in value.split(b';')
        if cookie.strip() and not detector.finds_in(cookie)
    ).strip()
