"""VMs that lose each other while both hear a third one."""

from chestnutshift.routes.model import Account
from tests.fleet.test_shares import (
    START,
    make_shares,
    tolerated_requests,
    worst_window,
)

ACCOUNT = Account('konya', rate=100, burst=20)
STEP_S = 0.01
HEARTBEAT_STEPS = 25
DURATION_S = 12.0
VMS = 3


def _play(share_holders: int) -> int:
    """Return the most requests that the two VMs admitted in any window.

    share_holders is how many VMs each of the two counts: all at first, and
    without the silent one after SHARE_EXPIRY_S.
    """
    vms = [make_shares(index, VMS) for index in range(2)]
    admitted: list[list[float]] = [[], []]
    for step in range(int(DURATION_S / STEP_S)):
        now = START + step * STEP_S
        for vm, admitted_at in zip(vms, admitted, strict=True):
            if step % HEARTBEAT_STEPS == 0:
                vm.report_demand(now)
                # The third VM is heard, and has no callers of the account.
                vm.update({'vm-2': {}}, share_holders, now)
            if vm.admit(ACCOUNT, now) is None:
                admitted_at.append(now)
    return worst_window(admitted)


# QUOTA: two regions that lost each other and reached a third admitted 627
# requests of an account in 5 s, where 592 are allowed.
def test_vms_that_lose_each_other() -> None:
    """The account's limit holds as soon as they hear each other no more."""
    assert _play(share_holders=VMS) <= tolerated_requests(ACCOUNT)


# QUOTA: after 30 s they admitted 917.
def test_vms_that_have_lost_each_other() -> None:
    """It holds after the silent VM is no longer counted, too."""
    assert _play(share_holders=VMS - 1) <= tolerated_requests(ACCOUNT)
