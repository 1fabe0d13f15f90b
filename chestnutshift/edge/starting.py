"""What a VM waits for at its start, and how it ends if that doesn't come.

The exit codes are those of sysexits.h: whoever started the process may try
again after either.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import attrs
import trio

from chestnutshift.edge import events
from chestnutshift.edge.exceptions import StartError
from chestnutshift.edge.settings import EdgeSettings, Endpoint
from chestnutshift.edge.settings_watch import read_settled
from chestnutshift.edge.state import EdgeState
from chestnutshift.exceptions import CodedError

EXIT_SETTINGS = 78
EXIT_PORTS = 75
# Settings are written when a process is started; time enough for a slow
# writer, and for a VM to be ready within ten seconds of its start.
SETTINGS_WAIT_S = 5.0
# An earlier process keeps its ports for its grace, and a little longer.
PORTS_MARGIN_S = 5.0
RETRY_S = 0.1

Opened = TypeVar('Opened')
# Writes one line for those who look at the start.
Report = Callable[[str], None]


async def read_first_settings(
    read: Callable[[], EdgeSettings], report: Report
) -> EdgeSettings:
    """Read the settings as soon as they are usable; raise StartError."""
    deadline = trio.current_time() + SETTINGS_WAIT_S
    reported = False
    while True:
        try:
            return await read_settled(read)
        except (CodedError, OSError) as error:
            if trio.current_time() >= deadline:
                raise StartError(
                    f'the settings are unusable: {error}', EXIT_SETTINGS
                ) from error
            if not reported:
                report(f'waiting for usable settings: {error}')
            reported = True


@attrs.define
class PortOpener:
    """Opens ports, which an earlier process may still use for its grace."""

    _state: EdgeState
    _deadline: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin to wait."""
        wait_s = self._state.settings.bounds.grace_s + PORTS_MARGIN_S
        self._deadline = trio.current_time() + wait_s

    async def open(
        self, endpoint: Endpoint, open_port: Callable[[], Awaitable[Opened]]
    ) -> Opened:
        """Open a port without which the VM can't serve; raise StartError."""
        reported = False
        while True:
            try:
                return await open_port()
            except OSError as error:
                if trio.current_time() >= self._deadline:
                    raise StartError(
                        f'{endpoint} can not be used: {error}', EXIT_PORTS
                    ) from error
                if not reported:
                    _report_port(self._state, endpoint, error)
                reported = True
            await trio.sleep(RETRY_S)


def _report_port(state: EdgeState, endpoint: Endpoint, error: OSError) -> None:
    """Log that a port can't be used yet."""
    state.event_log.emit(
        events.PORT_AWAITED, endpoint=str(endpoint), detail=str(error)
    )
