"""Refusals of non-idempotent requests.

Each says that this very request was not run. An earlier request with the same
key may have run; only its record shows whether it did. A caller may conclude
that an operation did not run if each of its requests got such a refusal.
"""

from typing import ClassVar

from chestnutshift.exceptions import CodedError

BAD_REQUEST = 400
MISDIRECTED = 421
UNPROCESSABLE = 422
UNAVAILABLE = 503
RETRY_AFTER_S = 2.0


class IdempotencyError(CodedError):
    """A request was refused, not run, so that no operation runs twice.

    `status` is the HTTP status of the answer. If `retry_after_s` is set, the
    caller is asked to repeat the request with the same key after that time.
    """

    code = 'idempotency.refused'
    status: ClassVar[int] = BAD_REQUEST
    retry_after_s: float | None = None


class MissingIdempotencyKeyError(IdempotencyError):
    """The service requires an Idempotency-Key and the request has none."""

    code = 'idempotency.key_missing'


class MalformedIdempotencyKeyError(IdempotencyError):
    """The Idempotency-Key is not a string, too long, or given twice."""

    code = 'idempotency.key_malformed'


class KeyReusedError(IdempotencyError):
    """The key was used before by a request with other content."""

    code = 'idempotency.key_reused'
    status = UNPROCESSABLE


class StoreUnreachableError(IdempotencyError):
    """The record can't be written, so the request must not run."""

    code = 'idempotency.store_unreachable'
    status = UNAVAILABLE

    def __init__(
        self,
        detail: str,
        retry_after_s: float = RETRY_AFTER_S,
    ) -> None:
        """Set the seconds after which the caller may repeat the request."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class TooManyRecordsError(StoreUnreachableError):
    """This VM keeps as many claims as its memory allows."""

    code = 'idempotency.too_many'


class UnreadableRecordError(IdempotencyError):
    """The operation's row is not in a format that this release reads."""

    code = 'idempotency.record_unreadable'
    status = UNAVAILABLE


class ClaimExpiredError(IdempotencyError):
    """The claim is too old to send the request; it was not sent."""

    code = 'idempotency.claim_expired'
    status = UNAVAILABLE
    retry_after_s = RETRY_AFTER_S


class TicketElsewhereError(IdempotencyError):
    """Only the VM that issued the ticket can run it; `vm` is its name."""

    code = 'idempotency.ticket_elsewhere'
    status = MISDIRECTED

    def __init__(self, vm: str) -> None:
        """Name the VM that issued the ticket."""
        super().__init__(f'not run here: VM {vm} issued this ticket')
        self.vm = vm


class TicketExpiredError(IdempotencyError):
    """The ticket's lifetime has passed."""

    code = 'idempotency.ticket_expired'


class TicketForgedError(IdempotencyError):
    """This VM didn't issue the ticket to this client account."""

    code = 'idempotency.ticket_forged'
