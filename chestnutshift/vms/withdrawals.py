"""Withdrawal of keys during an outage of the platform."""

import trio

from chestnutshift.configuration import changes, store
from chestnutshift.configuration.model import Configuration
from chestnutshift.exceptions import CodedError
from chestnutshift.keys import events
from chestnutshift.links.peer import PeerLink
from chestnutshift.vms import heartbeats
from chestnutshift.vms.state import VmState

WRITE_PERIOD_S = 1.0
BROADCAST_TIMEOUT_S = 2.0


async def broadcast(state: VmState, digests: frozenset[str]) -> frozenset[str]:
    """Withdraw the keys here and at all VMs; return those that confirmed."""
    added = state.key_ring.withdrawals.add(digests)
    state.handle_withdrawn_keys(added, 'operator')
    reached: set[str] = {state.name}

    async def send_to(link: PeerLink) -> None:
        try:
            await heartbeats.exchange_withdrawals(
                state, link, BROADCAST_TIMEOUT_S
            )
        except CodedError:
            return
        reached.add(link.name)

    async with trio.open_nursery() as nursery:
        for link in state.links.values():
            nursery.start_soon(send_to, link)
    return frozenset(reached)


async def write_periodically(state: VmState) -> None:
    """Write withdrawals to the platform while it is reachable; forever."""
    while True:
        await trio.sleep(WRITE_PERIOD_S)
        if not state.platform_poller.reachable:
            continue
        try:
            await write_unwritten(state)
        except CodedError as error:
            # Retried in the next period after a conflict or an outage.
            state.event_log.emit(
                events.KEY_WITHDRAWAL_UNWRITTEN,
                code=error.code,
                detail=error.detail,
            )


async def write_unwritten(state: VmState) -> int:
    """Write the withdrawals made during an outage to the configuration.

    Returns the number of keys that were not withdrawn there yet. Raises
    ChangeConflictError if another change was written first, and the
    platform's errors.
    """
    unwritten = state.key_ring.withdrawals.unwritten
    if not unwritten:
        return 0
    base = await store.read_current(state.platform)
    after = _withdraw_all(base.configuration, unwritten)
    count = after.number - base.configuration.number
    if count:
        await store.replace(state.platform, base, after)
        state.event_log.emit(events.KEY_WITHDRAWAL_WRITTEN, count=count)
    state.holder.offer(after)
    return count


def _withdraw_all(
    configuration: Configuration,
    digests: frozenset[str],
) -> Configuration:
    for digest in sorted(digests):
        record = configuration.keys.get(digest)
        if record is not None and not record.withdrawn:
            configuration = changes.withdraw_key(configuration, digest)
    return configuration
