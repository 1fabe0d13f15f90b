"""Limits on callers' connections, and whether the VM is stopping."""

import attrs

from chestnutshift.conf import defaults

IDLE_S = 60.0
BODY_TIMEOUT_S = 10.0
# A closed connection is read for so long, so that its answer isn't lost.
LINGER_S = 2.0
# Idle callers may send a last request for so long after the stop began.
STOP_IDLE_S = 0.5


@attrs.frozen
class CallerLimits:
    """Limits of one VM's port for callers; times in seconds."""

    header_limit_b: int = defaults.HEADER_LIMIT_B
    header_timeout_s: float = defaults.HEADER_TIMEOUT_S
    connections_max: int = defaults.CALLER_CONNECTIONS_MAX
    grace_s: float = defaults.GRACE_S
    idle_s: float = IDLE_S
    body_timeout_s: float = BODY_TIMEOUT_S
    linger_s: float = LINGER_S
    stop_idle_s: float = STOP_IDLE_S
    # Whether a caller that ends its sending side is gone altogether.
    is_end_gone: bool = False


@attrs.define
class StopState:
    """Whether the VM is stopping; its connections share it."""

    is_stopping: bool = False
