"""Tests that no form of a key that the module lists reaches an upstream."""

import base64

from nose2.tools import params

from chestnutshift.invariants.registry import InvariantViolationError
from chestnutshift.keys import credentials
from chestnutshift.keys.exceptions import KeyInTargetError
from chestnutshift.keys.redaction import (
    KeyDetector,
    redact_key,
    redact_trailers,
    verify_redacted,
)
from tests.keys import KEY, enforced, raises

DETECTOR = KeyDetector(KEY)
BACKSLASH = chr(92)
PLAIN_HEADERS = [
    (b'host', b'listings.example'),
    (b'accept', b'application/json'),
    (b'accept-encoding', b'gzip, br'),
    (b'user-agent', b'Mozilla/5.0 (X11; Linux x86_64)'),
    (b'content-type', b'application/json'),
    (b'content-length', b'120'),
    (b'cookie', b'theme=dark; lang=tr'),
]


def percent_encode(text: str, layers: int = 1) -> str:
    """Percent-encode every character, in mixed case, `layers` times."""
    for _ in range(layers):
        text = ''.join(
            f'%{ord(char):02x}' if index % 2 else f'%{ord(char):02X}'
            for index, char in enumerate(text)
        )
    return text


def base64_encode(text: str) -> str:
    """Return the text in base64."""
    return base64.b64encode(text.encode()).decode()


ENCODED_KEYS = (
    KEY,
    KEY.upper(),
    f'before-{KEY}-after',
    BACKSLASH.join((KEY[:9], KEY[9:])),
    f'{KEY[:8]} {KEY[8:]}',
    percent_encode(KEY),
    percent_encode(KEY, 2),
    percent_encode(KEY, 3),
    percent_encode(KEY, 7),
    f'{KEY[:5]}{percent_encode(KEY[5:6])}{KEY[6:]}',
    KEY.encode().hex(),
    KEY.encode().hex().upper(),
    base64_encode(KEY),
    base64_encode(f'u:{KEY}'),
    base64_encode(f'me:{KEY}'),
    base64_encode(f'user:{KEY}:tail'),
    base64.urlsafe_b64encode(f'user:{KEY}'.encode()).rstrip(b'=').decode(),
    percent_encode(base64_encode(f'user:{KEY}')),
)


def header(name: str, value: str) -> tuple[bytes, bytes]:
    """Return a header as bytes."""
    return name.encode(), value.encode()


@params(*ENCODED_KEYS)
def test_key_is_removed_from_headers_and_query(encoded_key):
    """Only the parts that contain the key are removed."""
    headers = [
        header('AUTHORIZATION', f'Bearer {KEY}'),
        header('Proxy-Authorization', 'Basic x'),
        *PLAIN_HEADERS,
        header('x-API-key', encoded_key),
        header('Cookie', f'a=1; session={encoded_key}; b=2'),
        header(f'x-{encoded_key}', '1'),
        header('referer', f'https://a.example/?key={encoded_key}'),
    ]
    query = f'page=2&key={encoded_key}&sort=size'.encode()
    redacted = redact_key(DETECTOR, b'/listings/a%20b', query, headers)
    assert redacted.query == b'page=2&sort=size'
    assert redacted.headers == [*PLAIN_HEADERS, header('Cookie', 'a=1; b=2')]
    trailers = [header('x-sum', '1'), header('x-key', encoded_key)]
    assert redact_trailers(DETECTOR, trailers) == trailers[:1]


def test_key_in_header_name_is_removed():
    """A key is found even if it is only in a header's name."""
    headers = [*PLAIN_HEADERS, header(f'x-{KEY}', '1')]
    assert redact_key(DETECTOR, b'/a', b'', headers).headers == PLAIN_HEADERS


@params(*ENCODED_KEYS)
def test_key_in_path_is_refused(encoded_key):
    """A key can't be redacted from a path, so the request is refused."""
    with raises(KeyInTargetError):
        redact_key(
            DETECTOR, f'/listings/{encoded_key}'.encode(), b'', PLAIN_HEADERS
        )


@params(str, str.upper, percent_encode)
def test_generated_key_is_recognized(encode_key):
    """A generated key is found on open routes, where no key is read."""
    encoded_key = encode_key(credentials.generate())
    headers = [*PLAIN_HEADERS, header('x-api-key', f'key={encoded_key}')]
    redacted = redact_key(KeyDetector(None), b'/a', b'', headers)
    assert redacted.headers == PLAIN_HEADERS
    assert redacted.removed == ('x-api-key',)


def test_plain_request_is_unchanged():
    """Only the credential header is removed from a request without the key."""
    headers = [header('authorization', f'Bearer {KEY}'), *PLAIN_HEADERS]
    query = b'q=50%252525&p=%C3%BC'
    redacted = redact_key(DETECTOR, b'/listings', query, headers)
    assert redacted.headers == PLAIN_HEADERS
    assert redacted.query == query
    assert not redacted.removed


@params(
    (f'/a?k={percent_encode(KEY)}', PLAIN_HEADERS),
    ('/a', [*PLAIN_HEADERS, header('x-key', KEY)]),
    ('/a', [*PLAIN_HEADERS, header('Authorization', 'Bearer other')]),
)
def test_invariant_detects_key(target, headers):
    """An outbound head that contains the key violates KEY_SECRECY."""
    with enforced():
        assert verify_redacted(DETECTOR, b'/a?b=c', PLAIN_HEADERS)
        with raises(InvariantViolationError):
            verify_redacted(DETECTOR, target.encode(), headers)
