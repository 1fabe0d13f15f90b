"""Access to the configuration's row in the platform's tables."""

import secrets

import attrs

from chestnutshift.configuration.codec import from_document, to_document
from chestnutshift.configuration.exceptions import (
    ChangeConflictError,
    NoConfigurationError,
)
from chestnutshift.configuration.model import Configuration
from chestnutshift.storage.backends.base import Platform
from chestnutshift.storage.exceptions import ConflictError
from chestnutshift.storage.records import Condition, Transaction, Write

TABLE = 'configuration'
KEY = 'current'


@attrs.frozen
class StoredConfiguration:
    """A configuration and the version of its row."""

    configuration: Configuration
    version: int


async def read_current(platform: Platform) -> StoredConfiguration:
    """Read the current configuration.

    Raises NoConfigurationError if there is none, SettingsError if the row
    is malformed, and the platform's errors.
    """
    row = await platform.read(TABLE, KEY)
    if row is None:
        raise NoConfigurationError('the platform holds no configuration')
    return StoredConfiguration(from_document(row.value), row.version)


async def replace(
    platform: Platform,
    base: StoredConfiguration,
    configuration: Configuration,
) -> None:
    """Replace base by the configuration if base is still current.

    Raises ChangeConflictError if another change came first, and the
    platform's errors.
    """
    transaction = Transaction(
        operation_id=secrets.token_hex(16),
        conditions=(Condition(TABLE, KEY, base.version),),
        writes=(Write(TABLE, KEY, to_document(configuration)),),
    )
    try:
        await platform.commit(transaction)
    except ConflictError as error:
        raise ChangeConflictError(
            f'configuration {base.configuration.number} is no longer current',
        ) from error
