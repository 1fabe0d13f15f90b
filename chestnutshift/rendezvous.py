"""Rendezvous hashing: VMs rank names identically without communicating."""

from hashlib import blake2b

SCORE_B = 8
# Scores lie in [0, SCORE_END).
SCORE_END = 2 ** (8 * SCORE_B)


def score(object_key: bytes, name: str) -> int:
    """Return the score of a name for an object; the highest is preferred.

    Only the first 64 bytes of the name count, the longest key of BLAKE2b.
    """
    digest = blake2b(object_key, digest_size=SCORE_B, key=name.encode()[:64])
    return int.from_bytes(digest.digest())
