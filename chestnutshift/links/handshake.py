"""Prove on both sides of a link that the other one knows the secret."""

import hashlib
import hmac
import secrets

from chestnutshift.links.exceptions import HandshakeError

NONCE_B = 16


def new_nonce() -> str:
    """Return a random nonce."""
    return secrets.token_hex(NONCE_B)


def prove(secret: bytes, side: str, *parts: str | None) -> str:
    """Return the proof that a side sends over what both have said."""
    transcript = '\n'.join((side, *(part or '' for part in parts)))
    return hmac.new(secret, transcript.encode(), hashlib.sha256).hexdigest()


def verify(secret: bytes, proof: str | None, side: str, *parts: str | None):
    """Raise HandshakeError unless the proof is right."""
    expected = prove(secret, side, *parts)
    if not hmac.compare_digest(expected, proof or ''):
        raise HandshakeError(f'the {side} does not know the secret')
