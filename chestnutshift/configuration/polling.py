"""Polling of the platform for its configuration and list of VMs."""

from collections.abc import Callable

import trio

from chestnutshift.checks.registry import check_configuration
from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.configuration import events, store
from chestnutshift.configuration.exceptions import NoConfigurationError
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import Configuration
from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError
from chestnutshift.storage.backends.base import Platform
from chestnutshift.storage.records import VmList


class PlatformPoller:
    """A poller of the platform that tracks whether the platform answers."""

    def __init__(
        self,
        platform: Platform,
        holder: ConfigurationHolder,
        event_log: EventLog,
    ) -> None:
        """Create a poller for one VM; run() starts it."""
        self._platform = platform
        self._holder = holder
        self._event_log = event_log
        self._reachable = False

    @property
    def reachable(self) -> bool:
        """Whether the platform answered the latest poll."""
        return self._reachable

    async def run(
        self,
        poll_s: float,
        on_confirmed: Callable[[float], None],
        on_vms: Callable[[VmList], None],
    ) -> None:
        """Poll forever, every poll_s.

        on_confirmed is called with the time at which each answered poll was
        sent, and on_vms with the list of VMs.
        """
        while True:
            requested_at = trio.current_time()
            try:
                await self._poll(requested_at, on_confirmed, on_vms)
            except CodedError as error:
                self._record_failure(error)
            await trio.sleep_until(requested_at + poll_s)

    async def refresh(self) -> None:
        """Read the configuration now; raise the platform's errors."""
        stored = await store.read_current(self._platform)
        self._apply(stored.configuration)
        self._record_answer()

    async def _poll(
        self,
        requested_at: float,
        on_confirmed: Callable[[float], None],
        on_vms: Callable[[VmList], None],
    ) -> None:
        try:
            await self.refresh()
        except NoConfigurationError:
            self._record_answer()
        on_confirmed(requested_at)
        on_vms(await self._platform.list_vms())

    def _apply(self, configuration: Configuration) -> None:
        if configuration.number <= self._holder.number:
            return
        problems = check_configuration(configuration)
        if problems:
            raise SettingsError(
                f'configuration {configuration.number}',
                tuple(str(problem) for problem in problems),
            )
        self._holder.offer(configuration)

    def _record_answer(self) -> None:
        if not self._reachable:
            self._event_log.emit(events.PLATFORM_BACK)
        self._reachable = True

    def _record_failure(self, error: CodedError) -> None:
        if isinstance(error, SettingsError):
            self._event_log.emit(events.REJECTED, problems=error.problems)
            return
        if self._reachable:
            self._event_log.emit(events.PLATFORM_LOST, code=error.code)
        self._reachable = False
