"""VMs of the fleet, as registered in the store."""

import attrs

from chestnutshift.edge.settings import Endpoint


@attrs.frozen
class Member:
    """The registration of one VM.

    endpoint is the address for its peers, callers the one for callers as
    address:port; incarnation is the unix time of its start in milliseconds;
    link_mbps is the bandwidth of its network link, 0 if unknown. crossings is
    the address for requests that peers pass on, and token the secret of this
    incarnation by which they prove themselves; None and empty for a VM of an
    earlier release.
    """

    vm: str
    endpoint: Endpoint
    callers: str
    failure_domain: str
    region: str
    incarnation: int
    link_mbps: float = 0
    crossings: Endpoint | None = None
    token: str = attrs.field(default='', repr=False)
