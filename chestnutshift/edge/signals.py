"""The signals of an edge VM: SIGTERM and SIGINT stop it, SIGHUP reloads."""

import signal

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.containment import report_failure
from chestnutshift.edge.settings_watch import SettingsWatch
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.heartbeats import MemberPhase

_WATCHED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@attrs.frozen
class SignalWatch:
    """Handles signals, and sets stopping at the first that stops the VM."""

    _state: EdgeState
    _settings_watch: SettingsWatch
    _stopping: trio.Event

    async def run(self) -> None:
        """Handle each signal that arrives, until cancelled."""
        with trio.open_signal_receiver(*_WATCHED) as received:
            async for number in received:
                # A receiver that ends would leave signals to the kernel, which
                # ends the process.
                try:
                    self._react(number)
                except Exception as error:
                    report_failure(self._state, 'signals', error)

    def _react(self, number: int) -> None:
        if number == signal.SIGHUP:
            self._settings_watch.request()
            return
        grace_s = self._state.settings.bounds.grace_s
        self._state.stop.begin(boot_time(), grace_s)
        self._state.phase = MemberPhase.STOPPING
        self._stopping.set()
        self._state.event_log.emit(events.STOPPING, signal=int(number))
