"""Rendezvous hashing: all VMs rank the same names alike, without a message."""

from hashlib import blake2b

SCORE_B = 8
SCORE_END = 2 ** (8 * SCORE_B)


def score(object_key: bytes, name: str) -> int:
    """Return the weight of a name for an object; the highest is preferred."""
    digest = blake2b(object_key, digest_size=SCORE_B, key=name.encode()[:64])
    return int.from_bytes(digest.digest())
