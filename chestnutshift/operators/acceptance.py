"""Accept an operator's change and wait until it is in force."""

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
from chestnutshift.operators.drains import make_plan
from chestnutshift.storage.exceptions import (
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from chestnutshift.vms import withdrawals
from chestnutshift.vms.state import VmState

IN_FORCE_WAIT_S = 5.0
LOOK_AGAIN_S = 0.05
WITHDRAW_KEY = 'withdraw_key'


@attrs.frozen
class ChangeRequest:
    """What an operator asks for.

    expected_number is the configuration that the operator has seen, 0 for
    whichever is current; a dry run only shows what would change.
    """

    kind: str
    arguments: dict[str, object] = attrs.field(factory=dict)
    expected_number: int = 0
    dry_run: bool = False


@attrs.frozen
class ChangeReport:
    """What a change did, and where it is in force."""

    number: int
    accepted: bool
    differences: tuple[str, ...]
    in_force_on: tuple[str, ...] = ()
    not_reached: tuple[str, ...] = ()


async def accept(state: VmState, request: ChangeRequest) -> ChangeReport:
    """Make the change; withdraw keys also while the platform is down.

    Raises what accept_written raises.
    """
    try:
        return await accept_written(state, request)
    except (PlatformUnavailableError, OutcomeUnknownError):
        if request.kind != WITHDRAW_KEY:
            raise
        return await _withdraw_unwritten(state, request)


async def accept_written(
    state: VmState,
    request: ChangeRequest,
) -> ChangeReport:
    """Check the change, write it by compare-and-set, wait for the VMs.

    Raises ConfigurationError for a change that the checks refuse,
    ChangeConflictError if another one came first, UnknownNameError,
    SettingsError, and the platform's errors.
    """
    base = await store.read_current(state.platform)
    before = base.configuration
    if request.expected_number not in {0, before.number}:
        raise ChangeConflictError(
            f'the configuration is number {before.number} by now, '
            f'not {request.expected_number}',
        )
    after = CHANGES.get(request.kind)(before, request.arguments)
    problems = _check(state, before, after)
    if problems:
        state.event_log.emit(
            events.CHANGE_REFUSED,
            kind=request.kind,
            checks=sorted({found.check for found in problems}),
        )
        raise ConfigurationError('; '.join(str(found) for found in problems))
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
    not_reached = await _wait_for_none(
        lambda: state.membership.behind(after.number, trio.current_time()),
    )
    return _report(state, after.number, differences, not_reached)


async def _withdraw_unwritten(
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
    reached = await withdrawals.flood(state, frozenset((digest,)))
    others = {peer.name for peer in state.membership.peers}
    not_reached = tuple(sorted(others - reached))
    return _report(state, before.number, differences, not_reached)


def _report(
    state: VmState,
    number: int,
    differences: tuple[str, ...],
    not_reached: tuple[str, ...],
) -> ChangeReport:
    every = {state.name, *(peer.name for peer in state.membership.peers)}
    return ChangeReport(
        number=number,
        accepted=True,
        differences=differences,
        in_force_on=tuple(sorted(every.difference(not_reached))),
        not_reached=not_reached,
    )


def _check(
    state: VmState,
    before: Configuration,
    after: Configuration,
) -> tuple[CheckMessage, ...]:
    # Only new drains: a target that vanished later must not block changes.
    now = trio.current_time()
    plans = [
        make_plan(state, target, after.drains, now)
        for target in sorted(after.drains - before.drains)
    ]
    found = [message for plan in plans for message in check_drains(plan)]
    return (*check_configuration(after), *found)


async def _wait_for_none(
    find_missing: Callable[[], tuple[str, ...]],
) -> tuple[str, ...]:
    missing: tuple[str, ...] = ()
    with trio.move_on_after(IN_FORCE_WAIT_S):
        while True:
            missing = find_missing()
            if not missing:
                break
            await trio.sleep(LOOK_AGAIN_S)
    return missing
