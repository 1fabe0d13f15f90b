"""Errors of upstream selection, slots and queues."""

from chestnutshift.exceptions import CodedError


class RefusedError(CodedError):
    """The request was refused before any byte of it left this VM."""

    code = 'upstreams.refused'

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Store the reason and after how many seconds to retry."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class QueueFullError(RefusedError):
    """The queue of the service is at its maximum length."""

    code = 'upstreams.queue_full'


class DeadlineTooNearError(RefusedError):
    """The request cannot start and end before its deadline."""

    code = 'upstreams.deadline_too_near'


class NoUpstreamError(RefusedError):
    """No upstream of the service takes new work."""

    code = 'upstreams.none'


class ForeignWorkRefusedError(RefusedError):
    """The failure domain reserves its free slots for its own work."""

    code = 'upstreams.foreign_refused'


class UnknownUpstreamError(CodedError):
    """The failure domain has no upstream of that name."""

    code = 'upstreams.unknown'
