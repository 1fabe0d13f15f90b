"""Errors of one attempt at a place; each says whether it may have run."""

from chestnutshift.exceptions import CodedError


class AttemptNotRunError(CodedError):
    """An attempt failed without the request having run."""

    code = 'forwarding.place'
    status = 503

    def __init__(self, detail: str, retry_after_s: float = 1.0) -> None:
        """Keep the seconds after which the caller may come back."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


class UpstreamRefusedError(AttemptNotRunError):
    """The upstream said that it did not run the request."""

    code = 'upstreams.shed'


class VmRefusedError(AttemptNotRunError):
    """The VM of another failure domain did not take the request."""

    code = 'forwarding.place_refused'


class SlotExpiredError(AttemptNotRunError):
    """The slot was lent and its time to start a request is over."""

    code = 'upstreams.slot_lapsed'


class AttemptBrokenError(CodedError):
    """The attempt broke off after bytes may have reached an upstream."""

    code = 'upstreams.broken'
    status = 502


class CrossingRefusedError(CodedError):
    """The request claims to come from a VM but does not prove it."""

    code = 'forwarding.crossing_refused'
    status = 403
