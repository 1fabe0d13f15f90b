"""Tests of the Idempotency-Key header, request digests and outcomes."""

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
    """A key is read with or without quotes."""
    headers = [(b'Idempotency-KEY', text.encode())]
    assert read_idempotency_key(headers) == key


@params(b'', b'""', b'"a', b'a b', b'"a b"', b'"a"; x=1', b'"\xc3\xbc"')
def test_malformed_key_is_refused(text):
    """Anything but a single string of visible ASCII characters is refused."""
    with raises(exceptions.MalformedIdempotencyKeyError):
        read_idempotency_key([(b'idempotency-key', text)])


def test_count_and_length_are_bounded():
    """A request without a key, with two keys or a long key is refused."""
    longest = (b'idempotency-key', b'k' * KEY_LENGTH_MAX)
    assert len(read_idempotency_key([longest])) == KEY_LENGTH_MAX
    with raises(exceptions.MalformedIdempotencyKeyError):
        read_idempotency_key([(longest[0], b'k' * (KEY_LENGTH_MAX + 1))])
    with raises(exceptions.MalformedIdempotencyKeyError):
        read_idempotency_key([longest, longest])
    with raises(exceptions.MissingIdempotencyKeyError):
        read_idempotency_key([])


def test_digest_covers_content():
    """The digest covers method, target, type and body, not other headers."""
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
    with_request_id = [*HEAD, (b'x-request-id', b'7')]
    assert digest_request('POST', b'/b?x=1', with_request_id, b'{}') in digests


def test_outcome_records_only_small_bodies():
    """Only the length and digest of a long body are recorded."""
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
