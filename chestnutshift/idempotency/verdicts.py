"""Verdicts: the answers to repeats and to queries of an outcome."""

from collections.abc import Callable

import attrs

from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.idempotency.records import Holder, Record, State

# A holder that is silent for this long past its deadline counts as lost. The
# skew between the VMs' wall clocks must be smaller, else a repeat may be
# answered `unknown` too early.
HOLDER_GRACE_S = 10.0
RUNNING_RETRY_AFTER_S = 1.0

HolderIsGone = Callable[[Holder], bool]


@attrs.frozen
class Replay:
    """The operation ran, with this recorded outcome."""

    outcome: Outcome


@attrs.frozen
class StillRunning:
    """An earlier request with this key is in progress."""

    retry_after_s: float = RUNNING_RETRY_AFTER_S


@attrs.frozen
class OutcomeUnknown:
    """The operation may have run; its outcome is not known."""


@attrs.frozen
class NotRun:
    """No request with this key has run yet; a repeat may run."""


@attrs.frozen
class NotSeen:
    """No request with this key is recorded yet."""


Verdict = Replay | StillRunning | OutcomeUnknown | NotRun | NotSeen


def verdict_of(
    record: Record | None,
    wall_s: float,
    holder_is_gone: HolderIsGone,
) -> Verdict:
    """Return the verdict from a record at a wall time in seconds.

    A running record of a lost holder gives `unknown`, never `not run`: the
    holder may have sent the request, or may only be paused.
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
