"""The process of an entry VM: its tasks, start-up and graceful stop."""

import random
import signal

import attrs
import trio

from chestnutshift.conf.loader import read_secret
from chestnutshift.conf.settings import PeerAddress
from chestnutshift.configuration.events import IN_FORCE
from chestnutshift.configuration.model import Configuration
from chestnutshift.links.handlers import Handlers
from chestnutshift.links.peer import Identity, PeerLink
from chestnutshift.links.server import LinkServer
from chestnutshift.operators import timeline
from chestnutshift.storage.records import VmList
from chestnutshift.vms import (
    events,
    heartbeats,
    lending,
    probing,
    seats,
    serving,
    upkeep,
    withdrawals,
)
from chestnutshift.vms.membership import VmPhase
from chestnutshift.vms.state import VmState


async def wait_for_stop_signal() -> None:
    """Return on SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        await anext(aiter(received))


@attrs.define
class VmProcess:
    """Runs the tasks of one VM until a stop signal arrives."""

    _state: VmState
    _stopping: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Serve until a stop signal, then finish the requests in flight."""
        state = self._state
        state.holder.listen(self._adopt)
        async with trio.open_nursery() as nursery:
            # Binding the port for other VMs comes first: it fails while
            # another process of this VM runs, beside which no task may run.
            await nursery.start(self._serve_links)
            self._start_tasks(nursery)
            state.phase = VmPhase.LIVE
            state.event_log.emit(events.STARTED, incarnation=state.incarnation)
            await serving.serve_callers(state, self._stopping)
            await self._leave()
            nursery.cancel_scope.cancel()
        with trio.CancelScope(shield=True):
            await state.platform.aclose()
        state.event_log.emit(events.STOPPED)

    def _start_tasks(self, nursery: trio.Nursery) -> None:
        state = self._state
        for address in state.settings.peers.vms:
            nursery.start_soon(self._run_link, self._make_link(address))
        nursery.start_soon(
            state.platform_poller.run,
            state.settings.platform.poll_s,
            state.confirm,
            self._update_vm_list,
        )
        rng = random.Random(state.incarnation)
        nursery.start_soon(serving.serve_operators, state)
        nursery.start_soon(seats.maintain_seat, state)
        nursery.start_soon(lending.run_borrowing, state)
        nursery.start_soon(upkeep.run_upkeep, state)
        nursery.start_soon(probing.run_probes, state, rng)
        nursery.start_soon(state.ledger.record_writer.run)
        nursery.start_soon(state.sweeper.run)
        nursery.start_soon(withdrawals.write_periodically, state)
        nursery.start_soon(self._watch_signals)

    async def _leave(self) -> None:
        """Release the seat and pass on what only this process knows."""
        state = self._state
        with trio.move_on_after(state.settings.platform.timeout_s):
            await seats.release_seat(state)
        with trio.move_on_after(state.settings.platform.timeout_s):
            await state.ledger.record_writer.flush()
        # All withdrawals known here are passed on, so no VM need wait for them.
        unwritten = state.key_ring.withdrawals.unwritten
        reached = await withdrawals.broadcast(state, unwritten)
        if reached >= state.links.keys() or not unwritten:
            state.knowledge.mark_settled((state.incarnation,))
            await heartbeats.exchange_heartbeats(state)

    async def _watch_signals(self) -> None:
        await wait_for_stop_signal()
        self._state.phase = VmPhase.LEAVING
        self._state.event_log.emit(events.STOPPING)
        self._stopping.set()

    def _adopt(self, configuration: Configuration) -> None:
        self._state.event_log.emit(
            IN_FORCE,
            number=configuration.number,
            preset=configuration.in_force,
        )
        self._state.adopt(configuration, trio.current_time())

    def _update_vm_list(self, vm_list: VmList) -> None:
        self._state.update_vm_list(vm_list, trio.current_time())

    def _make_link(self, address: PeerAddress) -> PeerLink:
        state = self._state
        secret = read_secret(state.settings.peers.secret_file)
        identity = Identity(state.name, state.incarnation, secret)
        link = PeerLink(address, identity, state.event_log)
        state.links[address.name] = link
        return link

    async def _run_link(self, link: PeerLink) -> None:
        async def exchange(_link: PeerLink) -> None:
            await heartbeats.exchange_heartbeat(self._state, link)

        peers = self._state.settings.peers
        await link.run(peers.heartbeat_s, peers.silence_s, exchange)

    async def _serve_links(
        self,
        task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        state = self._state
        peers = state.settings.peers
        handlers = Handlers()
        heartbeats.register(handlers, state)
        lending.register(handlers, state)
        timeline.register(handlers, state)
        server = LinkServer(
            state.name,
            state.incarnation,
            read_secret(peers.secret_file),
            handlers,
            state.event_log,
        )
        await server.serve(
            peers.address,
            peers.port,
            peers.silence_s,
            task_status=task_status,
        )
