"""Errors of links between VMs."""

from chestnutshift.exceptions import CodedError


class LinkDownError(CodedError):
    """The other VM can't be reached, or did not answer in time."""

    code = 'links.down'


class HandshakeError(CodedError):
    """The other side does not know the secret, or is not who it should be."""

    code = 'links.handshake'


class PeerRefusedError(CodedError):
    """The other VM answered that it won't do what was asked."""

    code = 'links.refused'
