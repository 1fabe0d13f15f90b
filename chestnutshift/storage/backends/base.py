"""What every way to reach the platform offers."""

import abc

from chestnutshift.storage.records import Row, Transaction, VmList
from chestnutshift.registry import Registry

SCAN_LIMIT = 1000


class Platform(abc.ABC):
    """The platform's table service, object store and list of VMs.

    Every method raises PlatformUnavailableError if the platform can't be
    reached and OverLimitError if it refuses because of its rate limits.
    """

    @abc.abstractmethod
    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it is absent."""

    @abc.abstractmethod
    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit: int = SCAN_LIMIT,
    ) -> tuple[Row, ...]:
        """Return up to limit rows by key, from the first key beyond after."""

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> tuple[Row, ...]:
        """Apply the transaction once and return the rows that it wrote.

        Raises ConflictError if a condition does not hold and
        OutcomeUnknownError if it can't be told whether the writes were or
        still will be applied. Every other error means that they were not. A
        caller that cancels the call knows as little as after
        OutcomeUnknownError. Committing the same operation id again is safe
        and gives the recorded outcome.
        """

    @abc.abstractmethod
    async def get_object(self, name: str) -> bytes | None:
        """Return the object's content, or None if it is absent."""

    @abc.abstractmethod
    async def put_object(self, name: str, body: bytes) -> None:
        """Replace the object; after an error it may or may not be replaced."""

    @abc.abstractmethod
    async def list_vms(self) -> VmList:
        """Return the platform's lagging list of live and leaving VMs."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close every connection."""


BACKENDS: Registry[type[Platform]] = Registry('platform backend')
