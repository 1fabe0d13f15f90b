"""Errors of moves between regions."""

from chestnutshift.exceptions import CodedError


class UnknownTargetError(CodedError):
    """A drain names no VM, upstream, failure domain or region."""

    code = 'regions.unknown_target'
