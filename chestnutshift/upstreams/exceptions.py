"""Errors of the choice and the slots of upstreams."""

from chestnutshift.exceptions import CodedError


class RefusedError(CodedError):
    """The request was refused before any byte of it left this VM."""

    code = 'upstreams.refused'

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Keep the reason and after how many seconds to come back."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class QueueFullError(RefusedError):
    """The waiting queue of the service is at its bound."""

    code = 'upstreams.queue_full'


class DeadlineTooNearError(RefusedError):
    """The request could not start and end before its deadline."""

    code = 'upstreams.deadline_too_near'


class NoUpstreamError(RefusedError):
    """No upstream of the service takes new work."""

    code = 'upstreams.none'


class ForeignWorkRefusedError(RefusedError):
    """The failure domain keeps its free slots for its own work."""

    code = 'upstreams.foreign_refused'


class UnknownUpstreamError(CodedError):
    """The failure domain owns no upstream of that name."""

    code = 'upstreams.unknown'
