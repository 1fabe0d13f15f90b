"""Refusals of non-idempotent requests.

Each says that THIS request was not run. Whether an earlier request with the
same key ran is another question, which only a record answers; a caller may
take an operation as not run when every one of its requests was answered so.
"""

from typing import ClassVar

from chestnutshift.exceptions import CodedError

BAD_GATEWAY = 502
BAD_REQUEST = 400
CONFLICT = 409
MISDIRECTED = 421
UNPROCESSABLE = 422
UNAVAILABLE = 503
RETRY_AFTER_S = 2.0


class IdempotencyError(CodedError):
    """A request refused, not run, to keep it from running twice.

    `status` is the HTTP status of the answer; `retry_after_s`, where set,
    tells the caller when to repeat the request with the same key. Where
    `may_have_run` is set, an earlier request runs, or may have run.
    """

    code = 'idempotency.refused'
    status: ClassVar[int] = BAD_REQUEST
    retry_after_s: float | None = None
    may_have_run: ClassVar[bool] = False


class OperationRunningError(IdempotencyError):
    """An earlier request with this key is under way."""

    code = 'idempotency.running'
    status = CONFLICT
    may_have_run = True

    def __init__(self, retry_after_s: float) -> None:
        """Keep the seconds after which to repeat the request."""
        super().__init__('an earlier request with this key is under way')
        self.retry_after_s = retry_after_s


class OperationUnknownError(IdempotencyError):
    """An earlier request with this key may have run."""

    code = 'idempotency.unknown'
    status = BAD_GATEWAY
    may_have_run = True

    def __init__(self) -> None:
        """Tell the caller what is left to it."""
        super().__init__(
            'an earlier request with this key may have run; ask the service',
        )


class MissingIdempotencyKeyError(IdempotencyError):
    """The service needs an Idempotency-Key and none came."""

    code = 'idempotency.key_missing'


class MalformedIdempotencyKeyError(IdempotencyError):
    """The Idempotency-Key is no string, too long, or came twice."""

    code = 'idempotency.key_malformed'


class KeyReusedError(IdempotencyError):
    """The key belongs to a request with other content."""

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
        """Keep the seconds after which to repeat the request."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class TooManyRecordsError(StoreUnreachableError):
    """This VM holds as many unwritten records as its memory allows."""

    code = 'idempotency.too_many'


class UnreadableRecordError(IdempotencyError):
    """The operation's row is not in the form that this release reads."""

    code = 'idempotency.record_unreadable'
    status = UNAVAILABLE
    may_have_run = True


class ClaimExpiredError(IdempotencyError):
    """The claim is too old to send the request; it was not sent."""

    code = 'idempotency.claim_expired'
    status = UNAVAILABLE
    retry_after_s = RETRY_AFTER_S


class TicketElsewhereError(IdempotencyError):
    """Only the VM that minted the ticket can run it; `vm` is its name."""

    code = 'idempotency.ticket_elsewhere'
    status = MISDIRECTED

    def __init__(self, vm: str) -> None:
        """Keep the name of the VM to go to."""
        super().__init__(f'not run here: only VM {vm} knows this ticket')
        self.vm = vm


class TicketExpiredError(IdempotencyError):
    """The ticket is too old to be used."""

    code = 'idempotency.ticket_expired'


class TicketForgedError(IdempotencyError):
    """This VM didn't mint the ticket for this account."""

    code = 'idempotency.ticket_forged'
