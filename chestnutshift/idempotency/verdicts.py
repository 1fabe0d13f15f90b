"""What a repeat, or a caller's question for the outcome, is told."""

from collections.abc import Callable

import attrs

from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.idempotency.records import Holder, Record, State

# Beyond its deadline by this much a silent holder is taken for lost; the
# VMs' wall clocks must agree within it, or a repeat hears `unknown` early.
HOLDER_GRACE_S = 10.0
RUNNING_RETRY_AFTER_S = 1.0

HolderIsGone = Callable[[Holder], bool]


@attrs.frozen
class Replay:
    """The operation ran; this is its recorded outcome."""

    outcome: Outcome


@attrs.frozen
class StillRunning:
    """An earlier request with this key is under way."""

    retry_after_s: float = RUNNING_RETRY_AFTER_S


@attrs.frozen
class OutcomeUnknown:
    """The operation may have run, and nobody can tell."""


@attrs.frozen
class NotRun:
    """No request with this key has run so far; a repeat may run."""


@attrs.frozen
class NotSeen:
    """No request with this key is recorded so far."""


Verdict = Replay | StillRunning | OutcomeUnknown | NotRun | NotSeen


def verdict_of(
    record: Record | None,
    wall_s: float,
    holder_is_gone: HolderIsGone,
) -> Verdict:
    """Return what the record tells a reader at the wall time, in seconds.

    A running record of a lost holder tells `unknown` and never `not run`:
    the holder may have sent the request, and may only be paused.
    """
    if record is None:
        return NotSeen()
    if record.state is State.DONE:
        return Replay(record.outcome)
    if record.state is State.NOT_RUN:
        return NotRun()
    if record.state is State.UNKNOWN:
        return OutcomeUnknown()
    is_overdue = wall_s > record.deadline_s + HOLDER_GRACE_S
    if is_overdue or holder_is_gone(record.holder):
        return OutcomeUnknown()
    return StillRunning()
