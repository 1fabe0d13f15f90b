"""Errors of links between VMs."""

from chestnutshift.exceptions import CodedError


class LinkDownError(CodedError):
    """The other VM is unreachable or did not answer in time."""

    code = 'links.down'


class HandshakeError(CodedError):
    """The other side lacks the secret or is not the expected VM."""

    code = 'links.handshake'


class PeerRefusedError(CodedError):
    """The other VM answered a message with a refusal."""

    code = 'links.refused'
