"""Accept an operator's change and wait until it is in force."""

import attrs
import trio

from chestnutshift.checks.registry import check_configuration
from chestnutshift.configuration import changes, events, store
from chestnutshift.configuration.exceptions import (
    ChangeConflictError,
    ConfigurationError,
)
from chestnutshift.operators.changes import CHANGES
from chestnutshift.platform.exceptions import PlatformUnavailableError
from chestnutshift.vms import withdrawals
from chestnutshift.vms.state import VmState

IN_FORCE_WAIT_S = 5.0
WITHDRAWAL = 'withdraw_key'
LOOK_AGAIN_S = 0.05


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
    """Check the change, write it by compare-and-set, wait for the VMs.

    Raises ConfigurationError for a change that the checks refuse,
    ChangeConflictError if another one came first, UnknownNameError,
    SettingsError, and the platform's errors.
    """
    try:
        base = await store.read_current(state.platform)
    except PlatformUnavailableError:
        if request.kind != WITHDRAWAL:
            raise
        return await _withdraw_without_platform(state, request)
    before = base.configuration
    if request.expected_number not in {0, before.number}:
        raise ChangeConflictError(
            f'the configuration is number {before.number} by now, '
            f'not {request.expected_number}',
        )
    after = CHANGES.get(request.kind)(before, request.arguments)
    problems = check_configuration(after)
    if problems:
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
    not_reached = await _wait_in_force(state, after.number)
    every = {state.name, *(peer.name for peer in state.membership.peers)}
    return ChangeReport(
        number=after.number,
        accepted=True,
        differences=differences,
        in_force_on=tuple(sorted(every.difference(not_reached))),
        not_reached=not_reached,
    )


async def _withdraw_without_platform(
    state: VmState,
    request: ChangeRequest,
) -> ChangeReport:
    """Withdraw a key at every VM that is reached; it is written down later."""
    reference = str(request.arguments.get('key', ''))
    digest = withdrawals.find_known(state, reference)
    differences = (f'keys.{digest}.withdrawn: False -> True',)
    number = state.holder.number
    if request.dry_run:
        return ChangeReport(number, accepted=False, differences=differences)
    reached = await withdrawals.flood(state, frozenset((digest,)))
    every = {state.name, *(peer.name for peer in state.membership.peers)}
    return ChangeReport(
        number=number,
        accepted=True,
        differences=differences,
        in_force_on=tuple(sorted(reached)),
        not_reached=tuple(sorted(every - reached)),
    )


async def _wait_in_force(state: VmState, number: int) -> tuple[str, ...]:
    behind: tuple[str, ...] = ()
    with trio.move_on_after(IN_FORCE_WAIT_S):
        while True:
            behind = state.membership.behind(number, trio.current_time())
            if not behind:
                break
            await trio.sleep(LOOK_AGAIN_S)
    return behind
