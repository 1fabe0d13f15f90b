"""Factories of VMs for tests of the fleet."""

from chestnutshift.edge.settings import Endpoint
from chestnutshift.fleet.members import Member


def make_member(vm: str, incarnation: int = 1) -> Member:
    """Return a VM in the failure domain a1."""
    return Member(
        vm=vm,
        endpoint=Endpoint('127.0.0.1', 7740),
        callers='127.0.0.1:8686',
        failure_domain='a1',
        region='a',
        incarnation=incarnation,
    )
