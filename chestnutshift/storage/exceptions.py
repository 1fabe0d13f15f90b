"""Errors of the platform client, by whether a write was applied."""

from collections.abc import Iterable

from chestnutshift.exceptions import CodedError
from chestnutshift.storage.records import Row


class PlatformUnavailableError(CodedError):
    """The platform is unavailable; a transaction was not applied."""

    code = 'platform.unavailable'


class OutcomeUnknownError(CodedError):
    """A write may have been applied already, or may be applied later."""

    code = 'platform.outcome_unknown'


class ConflictError(CodedError):
    """A condition of a transaction did not hold; nothing was applied.

    rows are the current rows of the failed conditions; an absent row has
    version ABSENT_VERSION and the value None.
    """

    code = 'platform.conflict'

    def __init__(self, rows: Iterable[Row]) -> None:
        """Create an error from the current rows of the failed conditions."""
        self.rows = tuple(rows)
        names = ', '.join(f'{row.table}/{row.key}' for row in self.rows)
        super().__init__(f'rows were changed by another writer: {names}')


class OverLimitError(CodedError):
    """The rate limit of the platform was exceeded; nothing was applied."""

    code = 'platform.over_limit'

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Create an error with the delay that the platform asks for."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class RequestRejectedError(CodedError):
    """The platform rejected the request as invalid; nothing was applied."""

    code = 'platform.rejected'


class MissingTlsContextError(CodedError):
    """An https URL was given without a TLS context."""

    code = 'platform.tls_context'
