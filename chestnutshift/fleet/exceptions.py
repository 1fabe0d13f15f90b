"""Errors of what edge VMs tell each other."""

from chestnutshift.exceptions import CodedError


class BrokenBeatError(CodedError):
    """A datagram of a peer can't be decoded."""

    code = 'fleet.broken_beat'
