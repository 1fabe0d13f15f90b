"""Errors of what edge VMs tell each other."""

from chestnutshift.exceptions import CodedError


class BrokenDatagramError(CodedError):
    """A datagram of a peer can't be decoded."""

    code = 'fleet.broken_datagram'
