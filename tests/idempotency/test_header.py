"""The Idempotency-Key header and the digest of a request."""

from nose2.tools import params

from chestnutshift.idempotency import exceptions
from chestnutshift.idempotency.fingerprint import digest_request
from chestnutshift.idempotency.header import (
    KEY_LENGTH_MAX,
    read_idempotency_key,
)
from chestnutshift.idempotency.outcomes import (
    RECORDED_BODY_MAX_B,
    AnswerRecorder,
)
from tests.idempotency import make_outcome, raises

HEAD = [(b'Content-Type', b'application/json'), (b'content-length', b'2')]
BACKSLASH = chr(92)


@params(
    ('"8e03978e-40d5"', '8e03978e-40d5'),
    (' 8e03978e-40d5 ', '8e03978e-40d5'),
    (f'"a{BACKSLASH}"b{BACKSLASH}{BACKSLASH}"', f'a"b{BACKSLASH}'),
)
def test_key_is_read(text, key):
    """Quoted and bare keys are the same key."""
    headers = [(b'Idempotency-KEY', text.encode())]
    assert read_idempotency_key(headers) == key


@params(b'', b'""', b'"a', b'a b', b'"a b"', b'"a"; x=1', b'"\xc3\xbc"')
def test_malformed_key_is_refused(text):
    """Anything but one string of visible characters is refused."""
    with raises(exceptions.MalformedIdempotencyKeyError):
        read_idempotency_key([(b'idempotency-key', text)])


def test_count_and_length_are_bounded():
    """No key, two keys and too long a key are refused."""
    longest = (b'idempotency-key', b'k' * KEY_LENGTH_MAX)
    assert len(read_idempotency_key([longest])) == KEY_LENGTH_MAX
    with raises(exceptions.MalformedIdempotencyKeyError):
        read_idempotency_key([(longest[0], b'k' * (KEY_LENGTH_MAX + 1))])
    with raises(exceptions.MalformedIdempotencyKeyError):
        read_idempotency_key([longest, longest])
    with raises(exceptions.MissingIdempotencyKeyError):
        read_idempotency_key([])


def test_digest_tells_requests_apart():
    """Method, target, type and body count; other headers don't."""
    digests = {
        digest_request('POST', b'/b?x=1', HEAD, b'{}'),
        digest_request('PUT', b'/b?x=1', HEAD, b'{}'),
        digest_request('POST', b'/b?x=2', HEAD, b'{}'),
        digest_request('POST', b'/b?x=1', HEAD[1:], b'{}'),
        digest_request('POST', b'/b?x=1', HEAD, b'[]'),
        digest_request('POST', b'/b?x=1', HEAD, None),
        digest_request('POST', b'/b?x=1', HEAD[:1], None),
        digest_request('POST', b'/b?x=1', [(b'content-digest', b'y')], None),
    }
    assert len(digests) == 8
    traced = [*HEAD, (b'x-request-id', b'7')]
    assert digest_request('POST', b'/b?x=1', traced, b'{}') in digests


def test_outcome_keeps_small_answers():
    """A long body is known by length and digest only."""
    outcome = make_outcome()
    assert outcome.body == b'booked'
    assert outcome.headers == (('location', '/bookings/7'),)
    recorder = AnswerRecorder(200, [])
    for _ in range(RECORDED_BODY_MAX_B + 1):
        recorder.add(b'x')
    long = recorder.outcome()
    assert long.body is None
    assert long.length_b == RECORDED_BODY_MAX_B + 1
    assert long.digest != outcome.digest
