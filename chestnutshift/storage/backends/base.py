"""Interface and registry of the platform backends."""

import abc

from chestnutshift.registry import Registry
from chestnutshift.storage.records import Row, Transaction, VmList

SCAN_LIMIT = 1000


class Platform(abc.ABC):
    """Interface to the platform's table service, object store and VM list.

    Every method raises PlatformUnavailableError if the platform can't be
    reached and OverLimitError if a rate limit of the platform is exceeded.
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
        """Return up to limit rows in key order, starting beyond after."""

    @abc.abstractmethod
    async def commit(self, transaction: Transaction) -> tuple[Row, ...]:
        """Apply the transaction once and return the rows that it wrote.

        Raises ConflictError if a condition does not hold and
        OutcomeUnknownError if the writes may have been applied or may still
        be applied. Every other error means that they were not applied. If
        the call is cancelled, the outcome is unknown as well. Committing the
        same operation id again is safe and returns the recorded outcome.
        """

    @abc.abstractmethod
    async def get_object(self, name: str) -> bytes | None:
        """Return the object's content, or None if it is absent."""

    @abc.abstractmethod
    async def put_object(self, name: str, body: bytes) -> None:
        """Replace the object; after an error it may or may not be replaced."""

    @abc.abstractmethod
    async def list_vms(self) -> VmList:
        """Return the list of live and leaving VMs, which may lag behind."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close all connections."""


BACKENDS: Registry[type[Platform]] = Registry('platform backend')
