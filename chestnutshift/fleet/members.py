"""The VMs of the fleet, as they register themselves."""

import attrs

from chestnutshift.edge.settings import Endpoint


@attrs.frozen
class Member:
    """One VM: endpoint is where its peers reach it.

    callers is where callers connect, as address:port; incarnation is the
    unix time of its start in milliseconds.
    """

    vm: str
    endpoint: Endpoint
    callers: str
    failure_domain: str
    region: str
    incarnation: int
