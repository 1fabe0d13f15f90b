"""Keys are read strictly, known by digest, and never revived."""

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
    """The scheme's case and the header's case don't matter."""
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
    """Anything but one bearer token is refused, without repeating it."""
    with raises(exceptions.MalformedKeyError) as caught:
        credentials.read_key([(b'authorization', value)])
    assert KEY not in caught.exception.detail


def test_second_key_is_refused():
    """No request speaks for two keys."""
    header = (b'authorization', f'Bearer {KEY}'.encode())
    with raises(exceptions.SeveralKeysError):
        credentials.read_key([header, header])


def test_generated_keys_authenticate_by_digest():
    """A generated key is readable, and only its digest is kept."""
    key = credentials.generate()
    header = (b'authorization', f'Bearer {key}'.encode())
    assert credentials.read_key([header]) == key
    assert key not in repr(make_ring())


def test_identity_of_live_key():
    """A live key speaks for its account."""
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
    """A VM that just started refuses keyed requests, not run."""
    with raises(exceptions.StaleKeysError):
        KeyRing().authenticate(KEY, NOW)


def test_withdrawal_never_reverts():
    """Neither older nor newer configurations revive a withdrawn key."""
    ring = make_ring()
    assert ring.adopt(make_configuration(2, withdrawn=True)) == {DIGEST}
    for number in (1, 2, 3):
        ring.adopt(make_configuration(number))
        assert not ring.is_live(DIGEST, NOW)
        with raises(exceptions.WithdrawnKeyError):
            ring.authenticate(KEY, NOW)


def test_older_configuration_is_ignored():
    """A late older configuration changes no account, but withdraws."""
    ring = make_ring()
    ring.adopt(make_configuration(5, account='bursa'))
    assert not ring.adopt(make_configuration(4))
    assert ring.authenticate(KEY, NOW).account == 'bursa'
    assert ring.adopt(make_configuration(3, withdrawn=True)) == {DIGEST}
    assert not ring.is_live(DIGEST, NOW)


def test_key_moved_to_another_account_ends():
    """Requests under way must not outlive their key's account."""
    ring = make_ring()
    assert ring.adopt(make_configuration(2, account='bursa')) == {DIGEST}
