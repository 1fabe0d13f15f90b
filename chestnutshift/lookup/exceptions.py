"""Errors of the look-up package."""

from chestnutshift.exceptions import CodedError


class InvalidAddressError(CodedError):
    """The text is no IPv4 or IPv6 address or client block."""

    code = 'lookup.invalid_address'


class InvalidBlockError(CodedError):
    """A client block has a length or an order index out of range."""

    code = 'lookup.invalid_block'


class DuplicateBlockError(CodedError):
    """One client block was given two order indexes in one table."""

    code = 'lookup.duplicate_block'


class DeltaGapError(CodedError):
    """A delta is based on another number than the table has."""

    code = 'lookup.delta_gap'


class DeltaTooLargeError(CodedError):
    """A delta holds more changes than one delta may carry."""

    code = 'lookup.delta_too_large'


class CorruptTableError(CodedError):
    """The bytes of a table or a delta are cut short or altered."""

    code = 'lookup.corrupt_table'


class NoEntryKnownError(CodedError):
    """No entry VM is known at all, so that no answer can be given."""

    code = 'lookup.no_entry_known'
