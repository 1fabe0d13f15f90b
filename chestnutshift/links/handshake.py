"""Mutual authentication of the two sides of a link by a shared secret."""

import hashlib
import hmac
import secrets

from chestnutshift.links.exceptions import HandshakeError

NONCE_B = 16


def new_nonce() -> str:
    """Return a random nonce in hexadecimal."""
    return secrets.token_hex(NONCE_B)


def prove(secret: bytes, side: str, *parts: str | None) -> str:
    """Return a side's proof: an HMAC over its name and the parts.

    An absent part counts as empty.
    """
    transcript = '\n'.join((side, *(part or '' for part in parts)))
    return hmac.new(secret, transcript.encode(), hashlib.sha256).hexdigest()


def verify(secret: bytes, proof: str | None, side: str, *parts: str | None):
    """Raise HandshakeError unless the proof is that of the side."""
    expected = prove(secret, side, *parts)
    if not hmac.compare_digest(expected, proof or ''):
        raise HandshakeError(f'the proof of the {side} is wrong')
