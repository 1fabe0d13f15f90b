"""Acceptance of changes: check, store, and wait until all VMs apply them."""

from collections.abc import Callable

import attrs
import trio

from chestnutshift.checks import configurations as _configurations  # noqa: F401
from chestnutshift.checks import drains as _drains  # noqa: F401
from chestnutshift.checks.messages import CheckMessage
from chestnutshift.checks.registry import check_configuration, check_drains
from chestnutshift.configuration import changes, events, store
from chestnutshift.configuration.exceptions import (
    ChangeConflictError,
    ConfigurationError,
)
from chestnutshift.configuration.model import Configuration
from chestnutshift.operators.changes import CHANGES
from chestnutshift.operators.drains import make_drain_plan
from chestnutshift.storage.exceptions import (
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from chestnutshift.vms import withdrawals
from chestnutshift.vms.state import VmState

IN_FORCE_TIMEOUT_S = 5.0
IN_FORCE_POLL_S = 0.05
WITHDRAW_KEY = 'withdraw_key'


@attrs.frozen
class ChangeRequest:
    """Change of the configuration that an operator requests.

    expected_number is the number of the configuration that the change is
    based on, or 0 to change the current one. A dry run only reports what
    would change.
    """

    kind: str
    arguments: dict[str, object] = attrs.field(factory=dict)
    expected_number: int = 0
    dry_run: bool = False


@attrs.frozen
class ChangeReport:
    """Differences made by a change, and the VMs on which it is in force."""

    number: int
    accepted: bool
    differences: tuple[str, ...]
    in_force_on: tuple[str, ...] = ()
    not_reached: tuple[str, ...] = ()


async def accept(state: VmState, request: ChangeRequest) -> ChangeReport:
    """Apply the change; withdraw keys even while the platform is down.

    Raises the errors of _apply_change.
    """
    try:
        return await _apply_change(state, request)
    except (PlatformUnavailableError, OutcomeUnknownError):
        if request.kind != WITHDRAW_KEY:
            raise
        return await _withdraw_without_platform(state, request)


async def _apply_change(
    state: VmState,
    request: ChangeRequest,
) -> ChangeReport:
    """Check the change, store it by compare-and-set and wait for the VMs.

    Raises ConfigurationError for a change that fails a check,
    ChangeConflictError if another change was stored first, UnknownNameError,
    SettingsError, BadRequestError, and the errors of the platform client.
    """
    base = await store.read_current(state.platform)
    before = base.configuration
    if request.expected_number not in {0, before.number}:
        raise ChangeConflictError(
            f'expected configuration {request.expected_number}, '
            f'but {before.number} is current',
        )
    after = CHANGES.get(request.kind)(before, request.arguments)
    problems = _check(state, before, after)
    if problems:
        state.event_log.emit(
            events.CHANGE_REFUSED,
            kind=request.kind,
            checks=sorted({problem.check for problem in problems}),
        )
        raise ConfigurationError(
            '; '.join(str(problem) for problem in problems)
        )
    differences = changes.describe(before, after)
    if request.dry_run:
        return ChangeReport(
            before.number, accepted=False, differences=differences
        )
    await store.replace(state.platform, base, after)
    state.event_log.emit(
        events.CHANGE_ACCEPTED,
        number=after.number,
        kind=request.kind,
        differences=differences,
    )
    state.holder.offer(after)
    not_reached = await _wait_until_none_missing(
        lambda: state.membership.behind(after.number, trio.current_time()),
    )
    return _report(state, after.number, differences, not_reached)


async def _withdraw_without_platform(
    state: VmState,
    request: ChangeRequest,
) -> ChangeReport:
    before = state.holder.current
    after = CHANGES.get(request.kind)(before, request.arguments)
    differences = changes.describe(before, after)
    if request.dry_run:
        return ChangeReport(
            before.number, accepted=False, differences=differences
        )
    digest = changes.find_digest(before, str(request.arguments['key']))
    reached = await withdrawals.broadcast(state, frozenset((digest,)))
    others = {peer.name for peer in state.membership.peers}
    not_reached = tuple(sorted(others - reached))
    return _report(state, before.number, differences, not_reached)


def _report(
    state: VmState,
    number: int,
    differences: tuple[str, ...],
    not_reached: tuple[str, ...],
) -> ChangeReport:
    vms = {state.name, *(peer.name for peer in state.membership.peers)}
    return ChangeReport(
        number=number,
        accepted=True,
        differences=differences,
        in_force_on=tuple(sorted(vms.difference(not_reached))),
        not_reached=not_reached,
    )


def _check(
    state: VmState,
    before: Configuration,
    after: Configuration,
) -> tuple[CheckMessage, ...]:
    # Only new drains are checked: a target that has disappeared since its
    # drain started must not block changes.
    now = trio.current_time()
    plans = [
        make_drain_plan(state, target, after.drains, now)
        for target in sorted(after.drains - before.drains)
    ]
    drain_messages = [
        message for plan in plans for message in check_drains(plan)
    ]
    return (*check_configuration(after), *drain_messages)


async def _wait_until_none_missing(
    find_missing: Callable[[], tuple[str, ...]],
) -> tuple[str, ...]:
    missing: tuple[str, ...] = ()
    with trio.move_on_after(IN_FORCE_TIMEOUT_S):
        while True:
            missing = find_missing()
            if not missing:
                break
            await trio.sleep(IN_FORCE_POLL_S)
    return missing
