"""Withdraw keys while the platform is out of reach, and write them down."""

import trio

from chestnutshift.configuration import changes, store
from chestnutshift.configuration.model import Configuration
from chestnutshift.keys import events
from chestnutshift.vms.state import VmState


def withdraw_here(state: VmState, digest: str) -> None:
    """Withdraw the key on this VM; heartbeats take it to the others."""
    withdrawals = state.key_ring.withdrawals
    state.end_keys(withdrawals.add((digest,)), 'operator')


def not_withdrawn_on(state: VmState, now: float) -> tuple[str, ...]:
    """Return the VMs not known to hold the same withdrawals as this one."""
    own = state.key_ring.withdrawals.fingerprint
    holding = {
        peer.name
        for peer in state.membership.heard(now)
        if peer.report and peer.report.withdrawals_fingerprint == own
    }
    return tuple(
        sorted(
            peer.name
            for peer in state.membership.peers
            if peer.name not in holding
        ),
    )


async def write_withdrawals(state: VmState) -> int:
    """Write down withdrawals made during an outage; return how many.

    To be called again and again while the platform answers. Raises
    ChangeConflictError if another change came first, and the platform's
    errors; the withdrawals then stay unwritten.
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
    await trio.lowlevel.checkpoint()
    return count


def _withdraw_all(
    configuration: Configuration,
    digests: frozenset[str],
) -> Configuration:
    after = configuration
    for digest in sorted(digests):
        record = after.keys.get(digest)
        if record is not None and not record.withdrawn:
            after = changes.withdraw_key(after, digest)
    return after
