"""The places of VMs, their load reports, and requests to be moved."""

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
    """A VM's report of its slots for a service and those in use.

    By the local clock the report is not older than measured_at, the time at
    which it was requested. wait_s is how long a request would wait there for
    a slot, infinite if not reported.
    """

    place: Place
    service: str
    slots: int
    in_use: int
    measured_at: float
    wait_s: float = math.inf


@attrs.frozen
class MovableRequest:
    """A request that may be moved; local_wait_s is its wait if it stays."""

    service: str
    size_b: int
    local_wait_s: float
    deadline_at: float
