"""Errors of the platform's client, by what the caller may conclude."""

from collections.abc import Iterable

from chestnutshift.exceptions import CodedError
from chestnutshift.storage.records import Row


class PlatformUnavailableError(CodedError):
    """The platform was not reached; a write was surely not applied."""

    code = 'platform.unavailable'


class OutcomeUnknownError(CodedError):
    """A write may or may not have been applied, now or a little later."""

    code = 'platform.outcome_unknown'


class ConflictError(CodedError):
    """A condition did not hold; nothing was applied.

    rows are the current rows of the failed conditions; an absent row has
    version 0 and the value None.
    """

    code = 'platform.conflict'

    def __init__(self, rows: Iterable[Row]) -> None:
        """Keep the rows that the caller lost to."""
        self.rows = tuple(rows)
        names = ', '.join(f'{row.table}/{row.key}' for row in self.rows)
        super().__init__(f'changed meanwhile: {names}')


class OverLimitError(CodedError):
    """The platform refused because of its rate limit; nothing was applied."""

    code = 'platform.over_limit'

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Keep the seconds after which the platform invites a retry."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class RequestRejectedError(CodedError):
    """The platform called the request malformed; nothing was applied."""

    code = 'platform.rejected'


class MissingTlsContextError(CodedError):
    """An https URL came without the TLS context to verify it with."""

    code = 'platform.tls_context'
