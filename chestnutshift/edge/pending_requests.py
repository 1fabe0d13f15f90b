"""Requests that an edge VM is processing."""

import math
from collections.abc import Callable

import attrs

from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.answer_writer import AnswerWriter
from chestnutshift.forwarding.problems import Ran
from chestnutshift.forwarding.requests import RequestBody
from chestnutshift.memory.budget import Reservation
from chestnutshift.steering.choice import RequestProfile
from chestnutshift.steering.upstreams import Upstream
from chestnutshift.upstreams.connection import UpstreamConnection

# A body up to this length is buffered, so that it can be sent again.
BODY_BUFFER_MAX_B = 1_048_576


@attrs.define
class PendingRequest:
    """An admitted request and the progress of its attempts.

    started_at and deadline are boot times in seconds. has_caller_left tells
    whether an answer would reach nobody, is_followed whether requests behind it
    on its connection are at work. sent_count counts the
    attempts that were sent, unreached_count those that were not; misdirected
    attempts count in neither. avoided are the upstreams tried already.
    fingerprint tells whether it is the same as another request, None if that
    is not known; lost_count counts the attempts whose upstream broke off.
    peers_tried are the VMs that it was passed on to, used_connections those
    that carried its attempts. memory counts the bytes that it uses.
    """

    admitted: Admitted
    body: RequestBody
    writer: AnswerWriter
    started_at: float
    deadline: float
    has_caller_left: Callable[[], bool]
    is_followed: Callable[[], bool]
    memory: Reservation
    sent_count: int = 0
    unreached_count: int = 0
    ran: Ran = Ran.NOT_RUN
    avoided: set[Upstream] = attrs.field(factory=set)
    fingerprint: int | None = None
    lost_count: int = 0
    peers_tried: set[str] = attrs.field(factory=set)
    used_connections: set[UpstreamConnection] = attrs.field(factory=set)

    @property
    def body_b(self) -> int | None:
        """Bytes of the body, None if it is not buffered."""
        if self.body.buffered is None:
            return None
        return len(self.body.buffered)

    @property
    def size_b(self) -> int:
        """Bytes of the body; the buffer limit if the length is unknown."""
        if self.body_b is not None:
            return self.body_b
        return self.admitted.request.length_b or BODY_BUFFER_MAX_B

    @property
    def object_key(self) -> bytes:
        """The object on its route, empty for none.

        The work on an object differs by route, and so do the upstreams'
        caches of it.
        """
        request = self.admitted.request
        if not request.object_key:
            return b''
        return b'%b %b' % (
            self.admitted.route.name.encode(),
            request.object_key,
        )

    def profile(self, answer_b: float = 0) -> RequestProfile:
        """Return the properties by which an upstream is chosen.

        answer_b is the expected length of the answer's body in bytes.
        """
        return RequestProfile(
            self.admitted.service,
            self.object_key,
            round(self.size_b + answer_b),
            self.admitted.homes,
        )

    @property
    def can_resend(self) -> bool:
        """Whether the whole body is still available for a retry."""
        return not self.body.is_streaming


def request_timeout_s(admitted: Admitted) -> float:
    """Return the shorter of the caller's and the route's timeout.

    With a request that a peer passes on comes the time that is left of both:
    the peer admitted it, by the route table in force there.
    """
    timeouts_s = [admitted.request.timeout_s]
    if admitted.progress is None:
        timeouts_s.append(admitted.route.timeout_s)
    return min(
        (timeout_s for timeout_s in timeouts_s if timeout_s is not None),
        default=math.inf,
    )
