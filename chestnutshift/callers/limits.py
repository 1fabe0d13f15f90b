"""Limits on callers' connections, and whether the VM is stopping."""

import math
from collections.abc import Callable

import attrs

from chestnutshift.conf import defaults
from chestnutshift.memory.budget import MemoryBudget

IDLE_S = 60.0
REFUSED_MAX = 50
BATCH_MAX = 64
BODY_TIMEOUT_S = 10.0
# After the last answer the connection is read for this long before it is
# closed: closing with unread bytes resets it, and the answer may be lost.
LINGER_S = 2.0
# Time after the start of a stop in which idle callers may send a request.
STOP_IDLE_S = 0.5


@attrs.frozen
class WaitLimits:
    """How long callers may take for a head, or stay idle, in seconds."""

    header_timeout_s: float
    idle_s: float


@attrs.frozen
class CallerLimits:
    """Limits of a callers' port; times in seconds.

    find_header_limit_b returns the longest head in bytes where that changes
    while the port serves, in place of header_limit_b; find_waits likewise for
    header_timeout_s and idle_s.
    """

    header_limit_b: int = defaults.HEADER_LIMIT_B
    find_header_limit_b: Callable[[], int] | None = None
    header_timeout_s: float = defaults.HEADER_TIMEOUT_S
    find_waits: Callable[[], WaitLimits] | None = None
    connections_max: int = defaults.CALLER_CONNECTIONS_MAX
    # Connections over the limit that are sent a refusal at the same time; more
    # are reset.
    refused_max: int = REFUSED_MAX
    # Connections that are accepted before other tasks run.
    batch_max: int = BATCH_MAX
    # From the end of accepting until requests in progress are ended, and from
    # then until their connections are reset.
    grace_s: float = defaults.GRACE_S
    last_answers_s: float = 0
    idle_s: float = IDLE_S
    body_timeout_s: float = BODY_TIMEOUT_S
    linger_s: float = LINGER_S
    stop_idle_s: float = STOP_IDLE_S
    # Whether a caller that closes its sending side counts as disconnected.
    half_close_is_disconnect: bool = False
    # Requests of one connection that are served at the same time. More than
    # one requires an application that waits for the turn of a request that
    # must not be repeated, see callers.exchange.
    pipelined_max: int = 1
    # What all connections of the process may use; unlimited by default.
    memory: MemoryBudget = attrs.field(factory=MemoryBudget)

    @property
    def head_max_b(self) -> int:
        """The longest head of a request that is served now, in bytes."""
        if self.find_header_limit_b is None:
            return self.header_limit_b
        return min(defaults.HEADER_LIMIT_MAX_B, self.find_header_limit_b())

    @property
    def waits(self) -> WaitLimits:
        """How long a caller may take for a head or stay idle, as of now."""
        if self.find_waits is None:
            return WaitLimits(self.header_timeout_s, self.idle_s)
        return self.find_waits()


@attrs.define
class StopState:
    """Whether the VM is stopping; shared by all its connections.

    Requests behind those in progress are read until reads_until, shortly after
    those in progress have ended: the application refuses what it can't finish.
    """

    is_stopping: bool = False
    reads_until: float = math.inf

    def is_late(self, now: float) -> bool:
        """Return whether requests behind those in progress are not read."""
        return now >= self.reads_until
