"""Digest of a request, to distinguish its repeats from reuses of its key.

A body of up to BODY_DIGEST_MAX_B bytes is buffered and is part of the digest.
A longer body is streamed to the upstream as it arrives; only its length and
the caller's Content-Digest header (RFC 9530), if any, are part of the digest.
"""

import hashlib

BODY_DIGEST_MAX_B = 65_536
_DIGESTED_HEADERS = (b'content-type', b'content-encoding', b'content-length')
_SEPARATOR = b'\x00'


def digest_request(
    method: str,
    target: bytes,
    headers: list[tuple[bytes, bytes]],
    body: bytes | None,
) -> str:
    """Return the SHA-256 digest in hexadecimal.

    The body is None if it is streamed.
    """
    named = {name.lower(): value for name, value in headers}
    parts = [method.encode(), target]
    parts += [named.get(name, b'').strip() for name in _DIGESTED_HEADERS[:2]]
    if body is None:
        parts.append(named.get(_DIGESTED_HEADERS[2], b''))
        parts.append(named.get(b'content-digest', b''))
    else:
        parts.append(hashlib.sha256(body).digest())
    return hashlib.sha256(_SEPARATOR.join(parts)).hexdigest()
