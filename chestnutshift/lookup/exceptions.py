"""Exceptions of the look-up package."""

from chestnutshift.exceptions import CodedError


class InvalidAddressError(CodedError):
    """A text is not an IPv4 or IPv6 address or client block."""

    code = 'lookup.invalid_address'


class InvalidBlockError(CodedError):
    """A client block is malformed or has an order index out of range."""

    code = 'lookup.invalid_block'


class DuplicateBlockError(CodedError):
    """A client block occurs twice in one table."""

    code = 'lookup.duplicate_block'


class DeltaGapError(CodedError):
    """A delta is based on another version of the table."""

    code = 'lookup.delta_gap'


class DeltaTooLargeError(CodedError):
    """A delta contains more changes than the limit."""

    code = 'lookup.delta_too_large'


class CorruptTableError(CodedError):
    """An encoded table or delta is truncated or malformed."""

    code = 'lookup.corrupt_table'


class NoEntryKnownError(CodedError):
    """A look-up can't be answered because no entry VM is known."""

    code = 'lookup.no_entry_known'
