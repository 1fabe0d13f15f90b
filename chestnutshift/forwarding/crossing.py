"""Crossings: requests that one VM forwards to another.

The proof binds the request to the sender, the account and the incarnation
of the receiver. This prevents callers from claiming an account, and replays
of a recorded crossing. The caller's key is never forwarded.
"""

import attrs

from chestnutshift.forwarding.exceptions import CrossingRefusedError
from chestnutshift.forwarding.problems import ACCOUNT_HEADER
from chestnutshift.forwarding.requests import Headers
from chestnutshift.links import handshake
from chestnutshift.links.exceptions import HandshakeError

CROSSING_HEADER = b'chestnutshift-crossing'
PROOF_HEADER = b'chestnutshift-crossing-proof'
PROGRESS_HEADER = b'chestnutshift-crossing-progress'
# The code of the problem by which the receiver refuses.
REFUSAL_HEADER = b'chestnutshift-refusal'
# Proofs kept to detect replays; far more than the crossings in flight.
RECEIVED_PROOFS_MAX = 100_000


@attrs.frozen
class RequestLine:
    """The parts of a request that a proof covers."""

    request_id: str
    method: str
    target: bytes


@attrs.frozen
class Crossing:
    """The sender of a forwarded request and the account that it is for.

    nonce is unique to the sender's incarnation. progress is what the sender
    tells of the request beside its head, in a form of its own.
    """

    sender: str
    region: str
    nonce: str
    account: str
    progress: str = ''

    def text(self) -> str:
        """Return the value of the crossing header."""
        return f'{self.sender} {self.region} {self.nonce}'


def crossing_headers(
    crossing: Crossing,
    line: RequestLine,
    secret: bytes,
    incarnation: str,
) -> Headers:
    """Return the headers of a crossing to that incarnation of a VM.

    The header of the account is not among them.
    """
    signed_text = _signed_text(crossing, line, incarnation)
    proof = handshake.prove(secret, 'crossing', signed_text)
    headers = [
        (CROSSING_HEADER, crossing.text().encode()),
        (PROOF_HEADER, proof.encode()),
    ]
    if crossing.progress:
        headers.append((PROGRESS_HEADER, crossing.progress.encode()))
    return headers


def _signed_text(
    crossing: Crossing, line: RequestLine, incarnation: str
) -> str:
    """Return the text that the proof authenticates."""
    parts = (
        crossing.text(),
        crossing.account,
        line.request_id,
        line.method,
        line.target.decode('latin-1'),
        incarnation,
    )
    if crossing.progress:
        parts += (crossing.progress,)
    return '\n'.join(parts)


@attrs.define
class CrossingVerifier:
    """Verifies the crossings that one incarnation of a VM receives."""

    _secret: bytes
    _incarnation: str
    _received_proofs: dict[str, None] = attrs.field(factory=dict)

    def read(self, headers: Headers, line: RequestLine) -> Crossing | None:
        """Return the verified crossing, None for a request of a caller.

        Raises CrossingRefusedError for a wrong proof and for a replay.
        """
        texts = {name: text.decode('latin-1') for name, text in headers}
        text = texts.get(CROSSING_HEADER)
        if text is None:
            return None
        fields = text.split(' ')
        if len(fields) != 3:
            raise CrossingRefusedError(
                'malformed Chestnutshift-Crossing header'
            )
        crossing = Crossing(
            *fields,
            account=texts.get(ACCOUNT_HEADER, ''),
            progress=texts.get(PROGRESS_HEADER, ''),
        )
        proof = texts.get(PROOF_HEADER, '')
        signed_text = _signed_text(crossing, line, self._incarnation)
        try:
            handshake.verify(self._secret, proof, 'crossing', signed_text)
        except HandshakeError as error:
            raise CrossingRefusedError(error.detail) from error
        self._reject_replay(proof)
        return crossing

    def _reject_replay(self, proof: str) -> None:
        if proof in self._received_proofs:
            raise CrossingRefusedError('this crossing was already received')
        self._received_proofs[proof] = None
        if len(self._received_proofs) > RECEIVED_PROOFS_MAX:
            self._received_proofs.pop(next(iter(self._received_proofs)))
