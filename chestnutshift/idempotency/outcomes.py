"""Recording of upstreams' answers, to be replayed to repeats."""

import hashlib

import attrs

RECORDED_BODY_MAX_B = 2048
RECORDED_HEADERS_MAX_B = 1024
RECORDED_HEADERS = frozenset(
    ('content-type', 'content-language', 'etag', 'location'),
)

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class Outcome:
    """The recorded part of an upstream's answer.

    `body` is None if it is longer than RECORDED_BODY_MAX_B. The length in
    bytes and the SHA-256 digest are those of the complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    length_b: int
    digest: str


class AnswerRecorder:
    """Records an answer while it is sent on to the caller."""

    def __init__(self, status: int, headers: Headers) -> None:
        """Record the status and headers of the answer."""
        self._status = status
        self._headers = _recorded_headers(headers)
        self._body: bytes | None = b''
        self._length_b = 0
        self._hash = hashlib.sha256()

    def add(self, chunk: bytes) -> None:
        """Record the next bytes of the body."""
        self._length_b += len(chunk)
        self._hash.update(chunk)
        if self._length_b > RECORDED_BODY_MAX_B:
            self._body = None
        else:
            self._body += chunk

    def outcome(self) -> Outcome:
        """Return the outcome; to be called once the answer is complete."""
        return Outcome(
            status=self._status,
            headers=self._headers,
            body=self._body,
            length_b=self._length_b,
            digest=self._hash.hexdigest(),
        )


def _recorded_headers(headers: Headers) -> tuple[tuple[str, str], ...]:
    recorded = []
    remaining_b = RECORDED_HEADERS_MAX_B
    for name, value in headers:
        lowered = name.decode('latin-1').lower()
        if lowered not in RECORDED_HEADERS:
            continue
        remaining_b -= len(value)
        if remaining_b >= 0:
            recorded.append((lowered, value.decode('latin-1')))
    return tuple(recorded)
