"""What callers and the upstream of a VM process saw around a stop."""

import math
from collections.abc import Iterable, Mapping

import attrs

# The part of the grace period from which work may be broken off, and how long
# after a SIGTERM a request may have been sent for that.
LATE_GRACE_RATIO = 5 / 6
SENT_MAX_S = 3.0
# A request that was not passed on is lost only if its connection ends so much
# later than its last byte was sent.
LOSS_SLACK_S = 0.2
# Statuses by which a VM breaks off what an upstream is at work on.
OWN_BREAKS = frozenset((500, 502, 504))


@attrs.frozen
class Stop:
    """A SIGTERM, at a time of trio, and the grace period of the VM."""

    at: float
    grace_s: float

    @property
    def late_at(self) -> float:
        """From when on work may be broken off."""
        return self.at + self.grace_s * LATE_GRACE_RATIO


@attrs.define
class Work:
    """A request at the upstream; ended_at is infinite while it goes on."""

    began_at: float
    ended_at: float = math.inf
    is_answered: bool = False


@attrs.frozen
class Sent:
    """A request of a caller; status is None without a complete answer.

    timeout_s is the shorter of the caller's and the route's. The caller sends
    nothing once an answer on its connection has announced the close.
    """

    request_id: str
    target: str
    sent_at: float
    ended_at: float
    timeout_s: float
    status: int | None = None

    @property
    def has_timed_out(self) -> bool:
        """Whether its time was over as it ended."""
        return self.ended_at - self.sent_at >= self.timeout_s

    def describe(self, stop: Stop) -> str:
        """Return a line with times since the SIGTERM."""
        outcome = self.status or 'no answer'
        return (
            f'{self.target} sent {self.sent_at - stop.at:.3f} s after SIGTERM: '
            f'{outcome} at {self.ended_at - stop.at:.3f} s'
        )


def find_lost(
    sent: Iterable[Sent], works: Mapping[str, Work], stop: Stop
) -> list[str]:
    """Return a line for each request that a planned stop must not lose.

    That is one that was passed on, or whose last byte was sent longer ago than
    the slack, and that ends without a whole answer, or with one of the VM's own
    in place of the upstream's, before its time is over. Excused is only what
    the upstream was at work on in the last sixth of the grace, if it was sent
    early enough.
    """
    return [
        request.describe(stop)
        for request in sent
        if _is_lost(request, works.get(request.request_id))
        and not is_excused(request, works.get(request.request_id), stop)
    ]


def is_excused(request: Sent, work: Work | None, stop: Stop) -> bool:
    """Return whether the end of the grace may break the request off."""
    if work is None or request.sent_at - stop.at > SENT_MAX_S:
        return False
    return work.ended_at >= stop.late_at


def find_broken_off(
    sent: Iterable[Sent], works: Mapping[str, Work]
) -> list[Sent]:
    """Return what was passed on and got no answer of the upstream."""
    return [
        request
        for request in sent
        if _is_lost(request, works.get(request.request_id))
        and request.request_id in works
    ]


def _is_lost(request: Sent, work: Work | None) -> bool:
    if request.has_timed_out:
        return False
    if work is not None:
        is_broken = request.status in OWN_BREAKS and not work.is_answered
        return request.status is None or is_broken
    if request.status is not None:
        return False
    return request.ended_at - request.sent_at > LOSS_SLACK_S
