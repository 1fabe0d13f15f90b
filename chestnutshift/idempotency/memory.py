"""The claims that one VM keeps in memory."""

import math

import attrs

from chestnutshift.idempotency.claims import Claim
from chestnutshift.idempotency.exceptions import TooManyRecordsError

# Used tickets of 10 minutes at 16 a second; about 35 MB with full bodies.
CLAIMS_MAX = 10_000
EXPIRY_INTERVAL_S = 30


@attrs.define
class ClaimMemory:
    """Claims by the key of their row: open, unwritten, or used tickets."""

    limit: int = CLAIMS_MAX
    _claims: dict[str, Claim] = attrs.field(factory=dict)
    _next_expiry: float = 0
    _expired_until: float = -math.inf

    def get(self, table_key: str) -> Claim | None:
        """Return the claim of this operation, if this VM has one."""
        return self._claims.get(table_key)

    def put(self, claim: Claim) -> None:
        """Keep a claim, in place of an earlier one of its operation."""
        self._claims[claim.request.table_key] = claim

    def drop(self, claim: Claim) -> None:
        """Forget a claim unless another one took its place."""
        if self.get(claim.request.table_key) is claim:
            self._claims.pop(claim.request.table_key)

    def ticket_check_time(self, now: float) -> float:
        """Return the time at which a ticket is judged, in seconds.

        A request may come to this point long after its `now`, when tickets
        that were good then are forgotten.
        """
        return max(now, self._expired_until)

    def check_capacity(self, now: float) -> None:
        """Raise TooManyRecordsError if no further claim can be kept."""
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._drop_expired(now)
        if len(self._claims) >= self.limit:
            raise TooManyRecordsError('not run: this VM keeps too many claims')

    def _drop_expired(self, now: float) -> None:
        self._expired_until = max(self._expired_until, now)
        for claim in list(self._claims.values()):
            is_ticket = claim.expires_at is not None
            if is_ticket and claim.expires_at < now and not claim.is_open:
                self.drop(claim)
