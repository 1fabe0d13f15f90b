"""The configuration in force on one VM; it only ever moves forward."""

from collections.abc import Callable

import trio

from chestnutshift.configuration.exceptions import NoConfigurationError
from chestnutshift.configuration.model import Configuration
from chestnutshift.invariants.registry import CONFIGURATION_ORDER, verify

Listener = Callable[[Configuration], None]


class ConfigurationHolder:
    """Hold the newest configuration seen and tell listeners of newer ones."""

    def __init__(self) -> None:
        """Start without any configuration."""
        self._current: Configuration | None = None
        self._listeners: list[Listener] = []
        self._changed = trio.Event()

    @property
    def current(self) -> Configuration:
        """The configuration in force; raises NoConfigurationError."""
        if self._current is None:
            raise NoConfigurationError('no configuration was received yet')
        return self._current

    @property
    def number(self) -> int:
        """The number in force, 0 before the first one."""
        return self._current.number if self._current else 0

    def listen(self, listener: Listener) -> None:
        """Call the listener with each configuration that comes into force."""
        self._listeners.append(listener)

    def offer(self, configuration: Configuration) -> bool:
        """Put a newer configuration in force; ignore any other."""
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
        """Return once this number or a newer one is in force."""
        while self.number < number:
            await self._changed.wait()
