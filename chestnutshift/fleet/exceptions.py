"""Errors in messages between edge VMs."""

from chestnutshift.exceptions import CodedError


class BrokenDatagramError(CodedError):
    """A datagram from a peer can't be decoded."""

    code = 'fleet.broken_datagram'
