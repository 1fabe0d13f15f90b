"""Places of VMs and the load that VMs report to each other."""

import math

import attrs


@attrs.frozen
class Place:
    """A VM, its failure domain and its region."""

    vm: str
    failure_domain: str
    region: str


@attrs.frozen
class VmLoad:
    """The slots that a VM may use for a service, and those in use.

    measured_at is the local time at which the report can have been true at
    the latest: when it arrived, less the known delay. wait_s is how long a
    request would wait there for its slot, infinite if the VM does not tell.
    """

    place: Place
    service: str
    slots: int
    in_use: int
    measured_at: float
    wait_s: float = math.inf


@attrs.frozen
class Demand:
    """A request that may be moved; local_wait_s is its wait if it is not."""

    service: str
    size_b: int
    local_wait_s: float
    deadline_at: float
