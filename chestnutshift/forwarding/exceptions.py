"""Errors of one attempt; each says whether the request may have run."""

from chestnutshift.exceptions import CodedError


class AttemptNotRunError(CodedError):
    """An attempt failed and did not run the request."""

    code = 'forwarding.place'
    status = 503

    def __init__(self, detail: str, retry_after_s: float = 1.0) -> None:
        """Set the seconds after which the caller may retry."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class UpstreamRefusedError(AttemptNotRunError):
    """The upstream shed the request and reported that it did not run it."""

    code = 'upstreams.shed'


class VmRefusedError(AttemptNotRunError):
    """The VM of another failure domain refused the request."""

    code = 'forwarding.place_refused'


class SlotExpiredError(AttemptNotRunError):
    """The slot is on loan, and the time to start a request in it is over."""

    code = 'upstreams.slot_lapsed'


class AttemptBrokenError(CodedError):
    """The connection broke after bytes may have reached an upstream."""

    code = 'upstreams.broken'
    status = 502


class CrossingRefusedError(CodedError):
    """The request claims to come from a VM without a valid proof."""

    code = 'forwarding.crossing_refused'
    status = 403
