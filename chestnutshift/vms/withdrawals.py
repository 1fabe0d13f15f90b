"""Withdraw keys while the platform is out of reach, and write them down."""

import trio

from chestnutshift.configuration import changes, store
from chestnutshift.configuration.exceptions import UnknownNameError
from chestnutshift.configuration.model import Configuration
from chestnutshift.exceptions import CodedError
from chestnutshift.keys import events
from chestnutshift.links.peer import PeerLink
from chestnutshift.vms import beats
from chestnutshift.vms.state import VmState

WRITE_S = 1.0
FLOOD_S = 2.0


async def flood(state: VmState, digests: frozenset[str]) -> frozenset[str]:
    """Withdraw the keys here and at every VM; return the VMs that took it."""
    fresh = state.key_ring.withdrawals.add(digests)
    state.end_keys(fresh, 'operator')
    reached: set[str] = {state.name}

    async def tell(link: PeerLink) -> None:
        try:
            await beats.exchange_withdrawals(state, link, FLOOD_S)
        except CodedError:
            return
        reached.add(link.name)

    async with trio.open_nursery() as nursery:
        for link in state.links.values():
            nursery.start_soon(tell, link)
    return frozenset(reached)


async def keep_writing(state: VmState) -> None:
    """Write withdrawals down whenever the platform is there; forever."""
    while True:
        await trio.sleep(WRITE_S)
        unwritten = state.key_ring.withdrawals.unwritten
        if unwritten and state.follower.reachable:
            await write_down(state, unwritten)


async def write_down(state: VmState, unwritten: frozenset[str]) -> None:
    """Put withdrawals into the configuration; give up quietly on errors.

    Another VM may write the same ones first: the loser of the
    compare-and-set looks again a little later.
    """
    try:
        base = await store.read_current(state.platform)
        after = _withdraw_all(base.configuration, unwritten)
        if after.number != base.configuration.number:
            await store.replace(state.platform, base, after)
    except CodedError:
        return
    state.holder.offer(after)
    state.event_log.emit(events.KEY_WITHDRAWAL_WRITTEN, count=len(unwritten))


def _withdraw_all(
    configuration: Configuration,
    digests: frozenset[str],
) -> Configuration:
    for digest in sorted(digests):
        record = configuration.keys.get(digest)
        if record is not None and not record.withdrawn:
            configuration = changes.withdraw_key(configuration, digest)
    return configuration


def find_known(state: VmState, reference: str) -> str:
    """Return the digest of a key by what this VM knows of the keys.

    Raises UnknownNameError.
    """
    configuration = state.holder.current
    digest = changes.find_digest(configuration, reference)
    if configuration.keys[digest].withdrawn:
        raise UnknownNameError(f'the key {reference!r} is withdrawn already')
    return digest
