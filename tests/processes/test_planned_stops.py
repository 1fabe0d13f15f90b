"""Callers that go on sending while a VM process is stopped as planned."""

import json
from typing import Any

import trio

from tests.processes.stop_callers import StoppingVm, stopping_vm
from tests.processes.upstreams import NAME
from tests.processes.world import PAGE

GRACE_S = 4
# Longer than the grace, and shorter than the timeout of the route.
LONG = f'{PAGE}?work_s=8'


# The log gave the reason `closed` for what the end of a stop cut, and named no
# request: nothing led from a lost request to its cause.
def test_cut_requests_are_named() -> None:
    """A request that the end of the grace ends is named, with its age."""
    trio.run(_name_what_is_cut)


async def _name_what_is_cut() -> None:
    async with stopping_vm(GRACE_S) as vm, trio.open_nursery() as nursery:
        nursery.start_soon(vm.ask, LONG)
        await vm.wait_for_works(1)
        vm.terminate()
        await vm.wait_for_exit()
    cut = _logged(vm, 'request.cut')[0]
    assert cut['request'] == vm.sent[0].request_id
    assert cut['upstream'] == NAME
    assert GRACE_S / 2 < cut['stopping_s'] < cut['after_s']
    lost = _logged(vm, 'connection.lost')[0]
    assert (lost['reason'], lost['requests']) == ('aborted', 1)


def _logged(vm: StoppingVm, name: str) -> list[dict[str, Any]]:
    """Return the log lines of one event."""
    lines = map(json.loads, vm.world.vm.log_text.splitlines())
    return [line for line in lines if line['name'] == name]
