"""Errors of moving requests between regions."""

from chestnutshift.exceptions import CodedError


class UnknownTargetError(CodedError):
    """A drain target is not a VM, upstream, failure domain or region."""

    code = 'regions.unknown_target'
