"""Requests that one VM passes to a VM of another failure domain.

The proof binds the request to the sender, the account and the incarnation
of the receiver, so that no caller can claim an account and no recorded
crossing runs again. The caller's key never crosses.
"""

import attrs

from chestnutshift.forwarding.exceptions import CrossingRefusedError
from chestnutshift.forwarding.problems import ACCOUNT_HEADER
from chestnutshift.forwarding.requests import CallerRequest, Headers
from chestnutshift.links import handshake
from chestnutshift.links.exceptions import HandshakeError

CROSSING_HEADER = b'chestnutshift-crossing'
PROOF_HEADER = b'chestnutshift-crossing-proof'
# Crossings that one receiver remembers, by far more than run at a time.
SEEN_PROOFS_MAX = 100_000


@attrs.frozen
class Crossing:
    """Who sends the request, and for which account.

    number is unique to the sender's incarnation.
    """

    sender: str
    region: str
    number: str
    account: str

    def text(self) -> str:
        """Return the value of the crossing header."""
        return f'{self.sender} {self.region} {self.number}'


def crossing_headers(
    crossing: Crossing,
    request: CallerRequest,
    target: bytes,
    secret: bytes,
    incarnation: str,
) -> Headers:
    """Return the headers that a crossing carries to that incarnation."""
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
    """Return everything that a proof binds together."""
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
class CrossingGuard:
    """Check the crossings that come in at one incarnation of a VM."""

    _secret: bytes
    _incarnation: str
    _seen: dict[str, None] = attrs.field(factory=dict)

    def read(self, request: CallerRequest) -> Crossing | None:
        """Return the proved crossing of a request, None for a caller's own.

        Raises CrossingRefusedError for a wrong proof and for a repeat.
        """
        text = request.header(CROSSING_HEADER)
        if text is None:
            return None
        fields = text.decode('latin-1').split(' ')
        if len(fields) != 3:
            raise CrossingRefusedError('the crossing header is malformed')
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
        if proof in self._seen:
            raise CrossingRefusedError('this crossing came before')
        self._seen[proof] = None
        if len(self._seen) > SEEN_PROOFS_MAX:
            self._seen.pop(next(iter(self._seen)))
