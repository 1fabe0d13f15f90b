"""Fingerprints, by which a request is recognized when it comes again."""

from hashlib import blake2b

FINGERPRINT_B = 8


def fingerprint(
    sender: str,
    method: bytes,
    host: str,
    target: bytes,
    body: bytes,
    length_b: int | None = None,
) -> int:
    """Return the fingerprint of a request as a signed 64-bit number.

    sender is the client account, empty on open routes. Of a body that is too
    long to buffer, body is the beginning and length_b the whole length, 0 if it
    is unknown; None means that body is whole. Two requests are the same if all
    arguments are. Headers don't count, as some of them differ in each attempt.
    """
    digest = blake2b(digest_size=FINGERPRINT_B)
    for part in (sender.encode(), method, host.lower().encode(), target):
        digest.update(b'%d:%b' % (len(part), part))
    digest.update(body)
    if length_b is not None:
        digest.update(b'of %d' % length_b)
    return int.from_bytes(digest.digest(), signed=True)
