"""Reloads the settings file, which may be written at the same time."""

from collections.abc import Callable

import attrs
import trio

from chestnutshift.edge import events
from chestnutshift.edge.containment import report_failure
from chestnutshift.edge.exceptions import UnsettledError
from chestnutshift.edge.settings import EdgeSettings
from chestnutshift.edge.state import EdgeState
from chestnutshift.exceptions import CodedError

RELOAD_PERIOD_S = 3.0
# Pauses before further readings of a changed file.
SETTLE_PAUSES_S = (0.1, 0.1)


@attrs.define
class SettingsWatch:
    """Reloads the settings on request and periodically, one at a time.

    Whatever goes wrong, the settings in force remain.
    """

    _state: EdgeState
    _read: Callable[[], EdgeSettings]
    _requested: trio.Event = attrs.field(factory=trio.Event)

    def request(self) -> None:
        """Have the settings reloaded now."""
        self._requested.set()

    async def run(self) -> None:
        """Reload until cancelled; the file may change without a request."""
        while True:
            with trio.move_on_after(RELOAD_PERIOD_S):
                await self._requested.wait()
            is_requested = self._requested.is_set()
            self._requested = trio.Event()
            try:
                await self._reload(is_requested=is_requested)
            except Exception as error:
                report_failure(self._state, 'settings', error)

    async def _reload(self, *, is_requested: bool) -> None:
        state = self._state
        try:
            settings = await read_settled(self._read, state.settings_read)
        except (CodedError, OSError) as error:
            state.event_log.emit(events.RELOAD_FAILED, detail=str(error))
            return
        changed = state.reload(settings)
        if is_requested or changed:
            state.event_log.emit(events.RELOADED, changed=changed)


async def read_settled(
    read: Callable[[], EdgeSettings], known: EdgeSettings | None = None
) -> EdgeSettings:
    """Return settings that are known, or that two readings agree on.

    A file that is not whole yet may look like one that leaves bounds out.
    Raise CodedError, and OSError if the file can't be read.
    """
    reading = _attempt(read)
    for pause_s in SETTLE_PAUSES_S:
        if known is not None and reading == known:
            return known
        await trio.sleep(pause_s)
        before, reading = reading, _attempt(read)
        if isinstance(reading, EdgeSettings) and reading == before:
            return reading
    if isinstance(reading, EdgeSettings):
        raise UnsettledError('the settings file is still being written')
    raise reading


def _attempt(
    read: Callable[[], EdgeSettings],
) -> EdgeSettings | CodedError | OSError:
    try:
        return read()
    except (CodedError, OSError) as error:
        return error
