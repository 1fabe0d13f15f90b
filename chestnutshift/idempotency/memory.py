"""The claims that this VM keeps in memory."""

import math

import attrs

from chestnutshift.idempotency.claims import Claim
from chestnutshift.idempotency.exceptions import TooManyRecordsError

# Room for the tickets used in their lifetime of 10 minutes at 16 per second;
# about 35 MB if every outcome has a body of the maximum recorded size.
CLAIMS_MAX = 10_000
EXPIRY_INTERVAL_S = 30


@attrs.define
class ClaimMemory:
    """Claims by the key of their row.

    It holds open claims, closed ones that are not yet written to the store,
    and used tickets until they expire.
    """

    limit: int = CLAIMS_MAX
    _claims: dict[str, Claim] = attrs.field(factory=dict)
    _next_expiry_at: float = 0
    _dropped_until: float = -math.inf

    def get(self, table_key: str) -> Claim | None:
        """Return this VM's claim to an operation, or None."""
        return self._claims.get(table_key)

    def put(self, claim: Claim) -> None:
        """Add a claim; it replaces an earlier one of its operation."""
        self._claims[claim.request.table_key] = claim

    def drop(self, claim: Claim) -> None:
        """Remove a claim unless another one replaced it."""
        if self.get(claim.request.table_key) is claim:
            self._claims.pop(claim.request.table_key)

    def ticket_check_time(self, now: float) -> float:
        """Return the time to check a ticket's expiry at, in seconds.

        A request may be checked long after its `now`. Tickets that had not
        expired at `now` may have been dropped from memory since; they must
        count as expired, or they could run twice.
        """
        return max(now, self._dropped_until)

    def check_capacity(self, now: float) -> None:
        """Raise TooManyRecordsError if there is no room for another claim."""
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._drop_expired(now)
        if len(self._claims) >= self.limit:
            raise TooManyRecordsError('not run: this VM keeps too many claims')

    def _drop_expired(self, now: float) -> None:
        self._dropped_until = max(self._dropped_until, now)
        for claim in list(self._claims.values()):
            is_ticket = claim.expires_at is not None
            if is_ticket and claim.expires_at < now and not claim.is_open:
                self.drop(claim)
