"""Errors of seats, shares and loans."""

from chestnutshift.exceptions import CodedError


class AccountsError(CodedError):
    """Base class of the errors of this package."""

    code = 'accounts'


class InvalidSeatRecordError(AccountsError):
    """A row of the seats table is malformed."""

    code = 'accounts.seat_record'
