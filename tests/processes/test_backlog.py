"""Connections that wait to be accepted as a VM process stops listening."""

import signal
from collections import Counter

import trio

from tests.callers.clients import Caller
from tests.processes.callers import PORT, calling_vm
from tests.processes.vms import Launch
from tests.processes.world import SAFE, raw_head

OK = 200
# More than a VM accepts in two turns, and less than the backlog.
CALLERS = 200
# New connections are accepted in the first half of the grace period.
# Keys may be older than the VM is suspended.
LAUNCH = Launch(grace_s=16, withdrawal_s=30)
BEFORE_CLOSE_S = 7.5
AFTER_CLOSE_S = 1.0
# A VM takes so late only what ends before it does.
DEADLINE_MS = 3000


# LOST: connections in the backlog were reset, with the requests sent on them.
def test_stop_serves_the_backlog() -> None:
    """Each caller that connected in time gets its answer."""
    trio.run(_stop)


async def _stop() -> None:
    async with calling_vm(LAUNCH) as kept:
        vm = kept.world.vm
        vm.send_signal(signal.SIGTERM)
        await trio.sleep(BEFORE_CLOSE_S)
        vm.send_signal(signal.SIGSTOP)
        callers = [await _call(vm.address) for _ in range(CALLERS)]
        await trio.sleep(AFTER_CLOSE_S)
        vm.send_signal(signal.SIGCONT)
        statuses = [await _status(caller) for caller in callers]
        assert Counter(statuses) == {OK: CALLERS}, Counter(statuses)


async def _call(address: str) -> Caller:
    stream = await trio.open_tcp_stream(address, PORT)
    await stream.send_all(raw_head('GET', SAFE, deadline_ms=DEADLINE_MS))
    return Caller(stream)


async def _status(caller: Caller) -> int:
    async with caller.stream:
        try:
            return (await caller.answer()).status
        except trio.BrokenResourceError:
            return 0
