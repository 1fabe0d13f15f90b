"""Crossings: requests forwarded to a VM of another failure domain.

The proof binds the request to the sender, the account and the incarnation
of the receiver. This prevents callers from claiming an account, and replays
of a recorded crossing. The caller's key is never forwarded.
"""

import attrs

from chestnutshift.forwarding.exceptions import CrossingRefusedError
from chestnutshift.forwarding.problems import ACCOUNT_HEADER
from chestnutshift.forwarding.requests import CallerRequest, Headers
from chestnutshift.links import handshake
from chestnutshift.links.exceptions import HandshakeError

CROSSING_HEADER = b'chestnutshift-crossing'
PROOF_HEADER = b'chestnutshift-crossing-proof'
# Proofs kept to detect replays; far more than the crossings in flight.
RECEIVED_PROOFS_MAX = 100_000


@attrs.frozen
class Crossing:
    """The sender of a forwarded request and the account that it is for.

    nonce is unique to the sender's incarnation.
    """

    sender: str
    region: str
    nonce: str
    account: str

    def text(self) -> str:
        """Return the value of the crossing header."""
        return f'{self.sender} {self.region} {self.nonce}'


def crossing_headers(
    crossing: Crossing,
    request: CallerRequest,
    target: bytes,
    secret: bytes,
    incarnation: str,
) -> Headers:
    """Return the headers of a crossing to that incarnation of a VM."""
    signed_text = _signed_text(crossing, request, target, incarnation)
    proof = handshake.prove(secret, 'crossing', signed_text)
    return [
        (CROSSING_HEADER, crossing.text().encode()),
        (PROOF_HEADER, proof.encode()),
    ]


def _signed_text(
    crossing: Crossing,
    request: CallerRequest,
    target: bytes,
    incarnation: str,
) -> str:
    """Return the text that the proof authenticates."""
    parts = (
        crossing.text(),
        crossing.account,
        request.request_id,
        request.method,
        target.decode('latin-1'),
        incarnation,
    )
    return '\n'.join(parts)


@attrs.define
class CrossingVerifier:
    """Verifies the crossings that one incarnation of a VM receives."""

    _secret: bytes
    _incarnation: str
    _received_proofs: dict[str, None] = attrs.field(factory=dict)

    def read(self, request: CallerRequest) -> Crossing | None:
        """Return the verified crossing, None for a request of a caller.

        Raises CrossingRefusedError for a wrong proof and for a replay.
        """
        text = request.header(CROSSING_HEADER)
        if text is None:
            return None
        fields = text.decode('latin-1').split(' ')
        if len(fields) != 3:
            raise CrossingRefusedError(
                'malformed Chestnutshift-Crossing header'
            )
        account = (request.header(ACCOUNT_HEADER) or b'').decode('latin-1')
        crossing = Crossing(*fields, account=account)
        proof = (request.header(PROOF_HEADER) or b'').decode('latin-1')
        signed_text = _signed_text(
            crossing,
            request,
            request.target,
            self._incarnation,
        )
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
