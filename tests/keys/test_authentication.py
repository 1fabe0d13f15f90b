"""Tests that keys are parsed strictly and that a withdrawal is final."""

from nose2.tools import params

from chestnutshift.keys import credentials, exceptions
from chestnutshift.keys.authentication import KeyRing
from tests.keys import (
    DIGEST,
    KEY,
    NOW,
    OTHER_KEY,
    make_configuration,
    make_ring,
    raises,
)


def test_key_is_read():
    """Header name and scheme are case-insensitive."""
    headers = [(b'AuthorizatioN', f'bEARER  {KEY}'.encode())]
    assert credentials.read_key(headers) == KEY
    assert credentials.read_key([(b'accept', b'*/*')]) is None


@params(
    b'Basic abc',
    KEY.encode(),
    f'Basic {KEY}'.encode(),
    f'Bearer {KEY} b'.encode(),
    b'Bearer',
    b'Bearer short',
)
def test_malformed_key_is_refused(value):
    """Anything but one bearer token is refused; the error doesn't quote it."""
    with raises(exceptions.MalformedKeyError) as caught:
        credentials.read_key([(b'authorization', value)])
    assert KEY not in caught.exception.detail


def test_second_key_is_refused():
    """A request with two Authorization headers is refused."""
    header = (b'authorization', f'Bearer {KEY}'.encode())
    with raises(exceptions.SeveralKeysError):
        credentials.read_key([header, header])


def test_generated_keys_authenticate_by_digest():
    """A generated key can be parsed, and the ring keeps only its digest."""
    key = credentials.generate()
    header = (b'authorization', f'Bearer {key}'.encode())
    assert credentials.read_key([header]) == key
    assert key not in repr(make_ring())


def test_identity_of_valid_key():
    """A valid key authenticates its client account."""
    identity = make_ring().authenticate(KEY, NOW)
    assert identity.account == 'konya'
    assert identity.digest == DIGEST


def test_refusals():
    """Each refusal has its own code."""
    ring = make_ring()
    with raises(exceptions.MissingKeyError):
        ring.authenticate(None, NOW)
    with raises(exceptions.UnknownKeyError):
        ring.authenticate(OTHER_KEY, NOW)
    with raises(exceptions.StaleKeysError):
        ring.authenticate(KEY, NOW + 6)
    ring.withdrawals.add([DIGEST])
    with raises(exceptions.WithdrawnKeyError):
        ring.authenticate(KEY, NOW)


def test_empty_ring_trusts_nothing():
    """A VM that just started refuses requests with a key, not run."""
    with raises(exceptions.StaleKeysError):
        KeyRing().authenticate(KEY, NOW)


def test_withdrawal_never_reverts():
    """A withdrawn key stays invalid under older and newer configurations."""
    ring = make_ring()
    assert ring.adopt(make_configuration(2, withdrawn=True)) == {DIGEST}
    for number in (1, 2, 3):
        ring.adopt(make_configuration(number))
        assert not ring.is_valid(DIGEST, NOW)
        with raises(exceptions.WithdrawnKeyError):
            ring.authenticate(KEY, NOW)


def test_older_configuration_only_withdraws():
    """Only the withdrawals of an older configuration are applied."""
    ring = make_ring()
    ring.adopt(make_configuration(5, account='bursa'))
    assert not ring.adopt(make_configuration(4))
    assert ring.authenticate(KEY, NOW).account == 'bursa'
    assert ring.adopt(make_configuration(3, withdrawn=True)) == {DIGEST}
    assert not ring.is_valid(DIGEST, NOW)


def test_key_moved_to_another_account_ends():
    """A key that moves to another client account ends for the first one."""
    ring = make_ring()
    assert ring.adopt(make_configuration(2, account='bursa')) == {DIGEST}
