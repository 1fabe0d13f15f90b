"""The harness of the tests with real processes."""

import trio

from tests.processes.world import UNSAFE, UPLOAD, running_vms

OK = 200


def test_requests_are_served() -> None:
    """Each kind of request reaches the stand-in, through either VM."""
    trio.run(_serve_requests)


async def _serve_requests() -> None:
    async with running_vms(2) as world:
        for vm in world.vms:
            await world.wait_until_served(vm)
            for path in (UNSAFE, UPLOAD):
                answer = await world.ask(vm, path, b'body')
                assert answer.status_code == OK, answer.text
            assert 0 < vm.resident_b <= vm.resident_peak_b
