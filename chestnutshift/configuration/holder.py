"""The configuration in force on one VM; its number never decreases."""

from collections.abc import Callable

import trio

from chestnutshift.configuration.exceptions import NoConfigurationError
from chestnutshift.configuration.model import Configuration
from chestnutshift.invariants.registry import CONFIGURATION_ORDER, verify

Listener = Callable[[Configuration], None]


class ConfigurationHolder:
    """The newest configuration that this VM received, with listeners."""

    def __init__(self) -> None:
        """Create a holder without a configuration."""
        self._current: Configuration | None = None
        self._listeners: list[Listener] = []
        self._changed = trio.Event()

    @property
    def current(self) -> Configuration:
        """The configuration in force; raises NoConfigurationError."""
        if self._current is None:
            raise NoConfigurationError(
                'this VM has not received a configuration yet'
            )
        return self._current

    @property
    def number(self) -> int:
        """The number in force, 0 before the first one."""
        return self._current.number if self._current else 0

    def listen(self, listener: Listener) -> None:
        """Call the listener with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; return False for any other."""
        previous = self.number
        if configuration.number <= previous:
            return False
        self._current = configuration
        verify(
            CONFIGURATION_ORDER,
            holds=self.number > previous,
            detail=f'{previous} was followed by {self.number}',
        )
        for listener in self._listeners:
            listener(configuration)
        self._changed.set()
        self._changed = trio.Event()
        return True

    async def wait_for(self, number: int) -> None:
        """Wait until this number or a newer one is in force."""
        while self.number < number:
            await self._changed.wait()
