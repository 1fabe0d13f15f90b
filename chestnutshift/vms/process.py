"""The process of one entry VM: every task it runs, from start to stop."""

import secrets
import signal

import attrs
import trio

from chestnutshift.conf.loader import read_secret
from chestnutshift.conf.settings import PeerAddress, Settings
from chestnutshift.configuration.events import IN_FORCE
from chestnutshift.configuration.follow import PlatformFollower
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import Configuration
from chestnutshift.events.log import EventLog
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.links.handlers import Handlers
from chestnutshift.links.peer import Identity, PeerLink
from chestnutshift.links.server import LinkServer
from chestnutshift.platform.backends.base import Platform
from chestnutshift.platform.records import VmList
from chestnutshift.upstreams.directory import UpstreamDirectory
from chestnutshift.operators import timeline
from chestnutshift.vms import beats, events, serving
from chestnutshift.vms.membership import Membership, VmPhase
from chestnutshift.vms.state import VmState

INCARNATION_B = 8


def make_state(settings: Settings, platform: Platform) -> VmState:
    """Return the state of a VM that has just started."""
    event_log = EventLog(settings.vm.name)
    holder = ConfigurationHolder()
    return VmState(
        settings=settings,
        incarnation=secrets.token_hex(INCARNATION_B),
        event_log=event_log,
        platform=platform,
        holder=holder,
        follower=PlatformFollower(platform, holder, event_log),
        key_ring=KeyRing(),
        directory=UpstreamDirectory(),
        membership=Membership(settings.peers.vms, settings.peers.silence_s),
    )


async def wait_for_stop_signal() -> None:
    """Return on SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        await anext(aiter(received))


@attrs.define
class VmProcess:
    """Run the tasks of one VM until it is told to stop."""

    _state: VmState
    _stopping: trio.Event = attrs.field(factory=trio.Event)

    async def run(self) -> None:
        """Serve until a stop signal, then end what is in flight."""
        state = self._state
        state.holder.listen(self._adopt)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._serve_links)
            for address in state.settings.peers.vms:
                nursery.start_soon(self._keep_link, self._make_link(address))
            nursery.start_soon(
                state.follower.run,
                state.settings.platform.poll_s,
                state.refresh_knowledge,
                self._take_vms,
            )
            nursery.start_soon(serving.serve_operators, state)
            nursery.start_soon(self._watch_signals)
            state.phase = VmPhase.LIVE
            state.event_log.emit(events.STARTED, incarnation=state.incarnation)
            await serving.serve_callers(state, self._stopping)
            nursery.cancel_scope.cancel()
        await state.platform.aclose()
        state.event_log.emit(events.STOPPED)

    async def _watch_signals(self) -> None:
        await wait_for_stop_signal()
        self._state.phase = VmPhase.LEAVING
        self._state.event_log.emit(events.STOPPING)
        self._stopping.set()

    def _adopt(self, configuration: Configuration) -> None:
        state = self._state
        state.event_log.emit(
            IN_FORCE,
            number=configuration.number,
            preset=configuration.in_force,
        )
        state.key_ring.adopt(configuration)
        state.refresh_knowledge()

    def _take_vms(self, vm_list: VmList) -> None:
        self._state.directory.update(vm_list.vms)

    def _make_link(self, address: PeerAddress) -> PeerLink:
        state = self._state
        secret = read_secret(state.settings.peers.secret_file)
        identity = Identity(state.name, state.incarnation, secret)
        link = PeerLink(address, identity, state.event_log)
        state.links[address.name] = link
        return link

    async def _keep_link(self, link: PeerLink) -> None:
        async def beat(_link: PeerLink) -> None:
            await beats.beat(self._state, link)

        peers = self._state.settings.peers
        await link.run(peers.heartbeat_s, peers.silence_s, beat)

    async def _serve_links(self) -> None:
        state = self._state
        peers = state.settings.peers
        handlers = Handlers()
        beats.register(handlers, state)
        timeline.register(handlers, state)
        server = LinkServer(
            state.name,
            state.incarnation,
            read_secret(peers.secret_file),
            handlers,
            state.event_log,
        )
        await server.serve(peers.address, peers.port, peers.silence_s)
