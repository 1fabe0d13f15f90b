"""The process of an edge VM: its tasks, start-up and graceful stop."""

import attrs
import trio

from chestnutshift.callers.connection import Application
from chestnutshift.clocks import boot_time
from chestnutshift.edge import descriptors, events
from chestnutshift.edge.attempts import UpstreamPool
from chestnutshift.edge.backend import Backend
from chestnutshift.edge.check_sender import CheckSender
from chestnutshift.edge.containment import (
    keep_running,
    report_end,
)
from chestnutshift.edge.crash_guard import CrashGuard
from chestnutshift.edge.exceptions import StartError
from chestnutshift.edge.forwarders import (
    Forwarders,
    ForwardingParts,
    make_forwarders,
)
from chestnutshift.edge.health_checks import HealthChecker
from chestnutshift.edge.log_writer import write_log
from chestnutshift.edge.passing_on import PeerPool
from chestnutshift.edge.peers import PeerMessenger
from chestnutshift.edge.ports import OpenPorts, Ports
from chestnutshift.edge.reach_checks import ReachChecker
from chestnutshift.edge.reach_monitor import ReachMonitor
from chestnutshift.edge.settings_watch import SettingsWatch
from chestnutshift.edge.signals import SignalWatch
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.store_polling import StorePoller
from chestnutshift.edge.upkeep import Upkeep
from chestnutshift.logs.bounded import BoundedLines


@attrs.define
class EdgeProcess:
    """Runs the tasks of one VM until a stop signal arrives."""

    _state: EdgeState
    _backend: Backend
    _entry: Application
    _lines: BoundedLines
    _stopping: trio.Event = attrs.field(factory=trio.Event)
    _messenger: PeerMessenger = attrs.field(init=False)
    _store_poller: StorePoller = attrs.field(init=False)
    _settings_watch: SettingsWatch = attrs.field(init=False)
    _crash_guard: CrashGuard = attrs.field(init=False)
    _monitor: ReachMonitor = attrs.field(init=False)
    _peer_pool: PeerPool = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the objects that several tasks share."""
        self._messenger = PeerMessenger(self._state)
        self._store_poller = StorePoller(self._state, self._backend)
        self._settings_watch = SettingsWatch(
            self._state, self._backend.read_settings
        )
        self._crash_guard = CrashGuard(self._state)
        self._monitor = ReachMonitor(self._state)
        self._peer_pool = PeerPool(self._state.memory)

    async def run(self) -> None:
        """Serve until a stop signal, then finish the requests in flight.

        An exception that ends the process is logged before it is raised.
        """
        try:
            await self._run()
        except StartError as error:
            self._state.event_log.emit(events.NOT_STARTED, detail=error.detail)
            self._lines.flush()
            raise
        except Exception as error:
            report_end(self._state, error)
            self._lines.flush()
            raise

    async def _run(self) -> None:
        state = self._state
        self._state.event_log.emit(
            events.STARTED,
            incarnation=state.incarnation,
            failure_domain=state.settings.failure_domain,
        )
        self._raise_descriptor_limit()
        pool = UpstreamPool(self._backend.dialect, state.memory)
        ports = Ports(
            state, self._entry, self._make_forwarders(pool), self._stopping
        )
        signals = SignalWatch(state, self._settings_watch, self._stopping)
        first_tasks = {
            'log': lambda: write_log(state, self._lines),
            'signals': signals.run,
        }
        async with trio.open_nursery() as nursery:
            for name, run in first_tasks.items():
                nursery.start_soon(keep_running, state, name, run)
            opened = await ports.open(nursery, self._messenger.open)
            if isinstance(opened, OpenPorts):
                self._start_tasks(nursery, pool)
                await ports.serve(nursery, opened)
            nursery.cancel_scope.cancel()
        if isinstance(opened, StartError):
            raise opened
        stopping_s = state.stop.age_s(boot_time())
        if stopping_s is not None:
            stopping_s = round(stopping_s, 3)
        state.event_log.emit(events.STOPPED, after_s=stopping_s)
        self._lines.flush()

    def _raise_descriptor_limit(self) -> None:
        wanted = self._state.settings.descriptors_max
        limit = descriptors.raise_soft_limit(wanted)
        if limit < wanted:
            self._state.event_log.emit(
                events.DESCRIPTORS_LIMITED, limit=limit, wanted=wanted
            )

    def _make_forwarders(self, pool: UpstreamPool) -> Forwarders:
        parts = ForwardingParts(
            pool,
            self._peer_pool,
            self._crash_guard,
            self._monitor,
            self._messenger,
        )
        return make_forwarders(self._state, self._backend.dialect, parts)

    def _start_tasks(self, nursery: trio.Nursery, pool: UpstreamPool) -> None:
        state, backend = self._state, self._backend
        self._store_poller.start(nursery)
        sender = CheckSender(state, backend.dialect, pool)
        health_checker = HealthChecker(
            state, sender, self._monitor, self._crash_guard
        )
        upkeep = Upkeep(
            state, self._store_poller, self._crash_guard, pool, self._peer_pool
        )
        tasks = {
            'health_checks': health_checker.run,
            'reach_checks': ReachChecker(state, self._monitor, sender).run,
            'messages': self._messenger.run,
            'registration': lambda: backend.registrar.run(state),
            'upkeep': upkeep.run,
            'settings': self._settings_watch.run,
        }
        for name, run in tasks.items():
            nursery.start_soon(keep_running, state, name, run)
