"""Selection of VMs by the bandwidth of their network links.

On a slow link one large answer delays all others and datagrams are lost, so
callers and questions go to the VMs with fast links while there are any.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

# A link with less than this fraction of the bandwidth of the fastest one is
# slow.
SLOW_LINK_RATIO = 0.25


class Linked(Protocol):
    """Something with a network link; link_mbps is 0 if unknown."""

    link_mbps: float


VM = TypeVar('VM', bound=Linked)


def without_slow_links(vms: Sequence[VM]) -> list[VM]:
    """Return the VMs whose links are not slow, in the same order.

    An unknown link, that of a VM of an earlier release, is not slow.
    """
    fastest = max((vm.link_mbps for vm in vms), default=0)
    return [
        vm
        for vm in vms
        if not vm.link_mbps or vm.link_mbps >= fastest * SLOW_LINK_RATIO
    ]
