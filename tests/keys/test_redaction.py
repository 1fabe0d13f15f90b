"""No spelling of a key that the module lists reaches an upstream."""

import base64

from nose2.tools import params

from chestnutshift.invariants.registry import InvariantViolationError
from chestnutshift.keys import credentials
from chestnutshift.keys.exceptions import KeyInTargetError
from chestnutshift.keys.redaction import (
    KeyDetector,
    hide_in_trailers,
    redact_key,
    verify_hidden,
)
from tests.keys import KEY, enforced, raises

DETECTOR = KeyDetector(KEY)
BACKSLASH = chr(92)
PLAIN = [
    (b'host', b'listings.example'),
    (b'accept', b'application/json'),
    (b'accept-encoding', b'gzip, br'),
    (b'user-agent', b'Mozilla/5.0 (X11; Linux x86_64)'),
    (b'content-type', b'application/json'),
    (b'content-length', b'120'),
    (b'cookie', b'theme=dark; lang=tr'),
]


def percent(text: str, layers: int = 1) -> str:
    """Encode every character, in mixed case, the number of times."""
    for _ in range(layers):
        text = ''.join(
            f'%{ord(char):02x}' if index % 2 else f'%{ord(char):02X}'
            for index, char in enumerate(text)
        )
    return text


def base64_of(text: str) -> str:
    """Return the text in base64."""
    return base64.b64encode(text.encode()).decode()


SPELLINGS = (
    KEY,
    KEY.upper(),
    f'before-{KEY}-after',
    BACKSLASH.join((KEY[:9], KEY[9:])),
    f'{KEY[:8]} {KEY[8:]}',
    percent(KEY),
    percent(KEY, 2),
    percent(KEY, 3),
    percent(KEY, 7),
    f'{KEY[:5]}{percent(KEY[5:6])}{KEY[6:]}',
    KEY.encode().hex(),
    KEY.encode().hex().upper(),
    base64_of(KEY),
    base64_of(f'u:{KEY}'),
    base64_of(f'me:{KEY}'),
    base64_of(f'user:{KEY}:tail'),
    base64.urlsafe_b64encode(f'user:{KEY}'.encode()).rstrip(b'=').decode(),
    percent(base64_of(f'user:{KEY}')),
)


def header(name: str, value: str) -> tuple[bytes, bytes]:
    """Return a header as bytes."""
    return name.encode(), value.encode()


@params(*SPELLINGS)
def test_key_is_taken_out_of_headers_and_query(spelling):
    """A spelling disappears from everywhere but the path, and only it."""
    headers = [
        header('AUTHORIZATION', f'Bearer {KEY}'),
        header('Proxy-Authorization', 'Basic x'),
        *PLAIN,
        header('x-API-key', spelling),
        header('Cookie', f'a=1; session={spelling}; b=2'),
        header(f'x-{spelling}', '1'),
        header('referer', f'https://a.example/?key={spelling}'),
    ]
    query = f'page=2&key={spelling}&sort=size'.encode()
    hidden = redact_key(DETECTOR, b'/listings/a%20b', query, headers)
    assert hidden.query == b'page=2&sort=size'
    assert hidden.headers == [*PLAIN, header('Cookie', 'a=1; b=2')]
    trailers = [header('x-sum', '1'), header('x-key', spelling)]
    assert hide_in_trailers(DETECTOR, trailers) == trailers[:1]


def test_key_in_header_name_is_taken_out():
    """A head whose only trace of the key is a name is seen as well."""
    headers = [*PLAIN, header(f'x-{KEY}', '1')]
    assert redact_key(DETECTOR, b'/a', b'', headers).headers == PLAIN


@params(*SPELLINGS)
def test_key_in_path_is_refused(spelling):
    """A path can't be cut, so the request is refused."""
    with raises(KeyInTargetError):
        redact_key(DETECTOR, f'/listings/{spelling}'.encode(), b'', PLAIN)


@params(str, str.upper, percent)
def test_generated_key_is_recognised(spell):
    """On open routes a generated key is found though none was read."""
    spelling = spell(credentials.generate())
    headers = [*PLAIN, header('x-api-key', f'key={spelling}')]
    hidden = redact_key(KeyDetector(None), b'/a', b'', headers)
    assert hidden.headers == PLAIN
    assert hidden.removed == ('x-api-key',)


def test_plain_request_is_unchanged():
    """Nothing but the credential header is taken from a plain request."""
    headers = [header('authorization', f'Bearer {KEY}'), *PLAIN]
    query = b'q=50%252525&p=%C3%BC'
    hidden = redact_key(DETECTOR, b'/listings', query, headers)
    assert hidden.headers == PLAIN
    assert hidden.query == query
    assert not hidden.removed


@params(
    (f'/a?k={percent(KEY)}', PLAIN),
    ('/a', [*PLAIN, header('x-key', KEY)]),
    ('/a', [*PLAIN, header('Authorization', 'Bearer other')]),
)
def test_invariant_sees_key(target, headers):
    """A finished head that holds the key violates KEY_SECRECY."""
    with enforced():
        assert verify_hidden(DETECTOR, b'/a?b=c', PLAIN)
        with raises(InvariantViolationError):
            verify_hidden(DETECTOR, target.encode(), headers)
