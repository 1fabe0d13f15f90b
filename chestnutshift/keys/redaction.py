"""Redaction of the caller's key from requests to upstreams.

A key is detected in header names and values, cookies, query parameters,
trailers and the path, within other text and in any mix of upper and lower
case, in these forms:

- the key itself, also with whitespace, quotes or backslashes inserted;
- percent-encoded wholly or partly, up to ENCODING_LAYERS_MAX times; text
  encoded more often is treated as if it contained the key;
- in hexadecimal;
- in base64, either alphabet, also with text around the key (`user:key`).

Any key made by `credentials.generate` is detected by its prefix, but only in
the first two forms. It may be a key of another client account, or arrive on an
open route, where no key is read.

A key is not detected if it is split over several headers or parameters,
compressed, encrypted, reversed or encoded in base64 twice. Bodies are not
searched or altered.
"""

import base64
import re
from urllib.parse import unquote_to_bytes

import attrs

from chestnutshift.invariants.registry import KEY_SECRECY, verify
from chestnutshift.keys.credentials import Headers
from chestnutshift.keys.exceptions import KeyInTargetError

ENCODING_LAYERS_MAX = 5
# Base64 turns 3 bytes into 4 characters, so text inside a longer one has 3
# possible encodings. Their first and last characters depend on the text
# around it.
_BASE64_GROUP_B = 3
_CREDENTIAL_NAMES = frozenset((b'authorization', b'proxy-authorization'))
# Not removed by normalization, so that two parts never combine to a key.
_SEPARATOR = b'\x00'
_IGNORED_CHARACTERS = b' \t\r\n"\'\\'
# A generated key after normalization: its prefix and 32 bytes in base64.
_GENERATED_PREFIX = b'csk/'
_GENERATED_KEY = re.compile(rb'csk/[a-z0-9+/]{43}')
_NORMALIZATION = bytes.maketrans(
    b'ABCDEFGHIJKLMNOPQRSTUVWXYZ-_',
    b'abcdefghijklmnopqrstuvwxyz+/',
)


@attrs.frozen
class RedactedHead:
    """A query and headers without the key, and the names of what was removed.

    Credential headers are always removed; their names are not listed.
    """

    query: bytes
    headers: Headers
    removed: tuple[str, ...] = ()


class KeyDetector:
    """Detects a key in the forms that this module lists.

    A detector must not outlive its request, because it contains the key.
    """

    def __init__(self, key: str | None) -> None:
        """Compute the patterns of the key; None detects generated keys only."""
        self._patterns: tuple[bytes, ...] = ()
        if key is None:
            return
        raw = key.encode('ascii')
        self._patterns = (
            _normalize(raw),
            _normalize(raw.hex().encode('ascii')),
            *(_normalize(fragment) for fragment in _base64_fragments(raw)),
        )

    def finds_in(self, *parts: bytes) -> bool:
        """Return whether any of the parts contains the key."""
        text = _SEPARATOR.join(parts)
        if self._matches(text):
            return True
        return b'%' in text and self._matches_decoded(text)

    def _matches(self, text: bytes) -> bool:
        normalized = _normalize(text)
        if any(pattern in normalized for pattern in self._patterns):
            return True
        return _GENERATED_PREFIX in normalized and bool(
            _GENERATED_KEY.search(normalized)
        )

    def _matches_decoded(self, text: bytes) -> bool:
        for _ in range(ENCODING_LAYERS_MAX):
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

    The path is given as received, not decoded. Raises KeyInTargetError if it
    contains the key.
    """
    plain = drop_credentials(headers)
    if not detector.finds_in(path, query, *_flatten(plain)):
        return RedactedHead(query, plain)
    if detector.finds_in(path):
        raise KeyInTargetError('not run: the path must not contain the key')
    query, removed_parameters = _redact_query(detector, query)
    kept, removed_headers = _redact_headers(detector, plain)
    return RedactedHead(query, kept, (*removed_parameters, *removed_headers))


def redact_trailers(detector: KeyDetector, trailers: Headers) -> Headers:
    """Return the trailers without the key."""
    plain = drop_credentials(trailers)
    kept, _ = _redact_headers(detector, plain)
    return kept


def drop_credentials(headers: Headers) -> Headers:
    """Return the headers without Authorization and Proxy-Authorization."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _CREDENTIAL_NAMES
    ]


def verify_redacted(
    detector: KeyDetector,
    target: bytes,
    headers: Headers,
) -> bool:
    """Verify that a request head for an upstream doesn't contain the key."""
    return verify(
        KEY_SECRECY,
        holds=len(drop_credentials(headers)) == len(headers)
        and not detector.finds_in(target, *_flatten(headers)),
        detail="an outbound head contains its caller's key",
    )


def _normalize(text: bytes) -> bytes:
    return text.translate(_NORMALIZATION, _IGNORED_CHARACTERS)


def _flatten(headers: Headers) -> list[bytes]:
    return [part for header in headers for part in header]


def _base64_fragments(raw: bytes) -> list[bytes]:
    fragments = []
    for offset in range(_BASE64_GROUP_B):
        start = (_BASE64_GROUP_B - offset) % _BASE64_GROUP_B
        end = len(raw) - (len(raw) - start) % _BASE64_GROUP_B
        fragments.append(base64.b64encode(raw[start:end]))
    return fragments


def _redact_query(
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


def _redact_headers(
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
        cookies = _redact_cookies(detector, name, value)
        if cookies:
            kept.append((name, cookies))
    return kept, removed


def _redact_cookies(
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
