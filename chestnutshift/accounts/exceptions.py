"""Errors of seats, shares and loans."""

from chestnutshift.exceptions import CodedError


class AccountsError(CodedError):
    """The base of the package's errors."""

    code = 'accounts'


class InvalidSeatRecordError(AccountsError):
    """A row of the table of seats can't be read."""

    code = 'accounts.seat_record'
