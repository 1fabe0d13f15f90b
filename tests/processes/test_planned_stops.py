"""Callers that go on sending while a VM process is stopped as planned."""

import itertools
import json
import signal
from typing import Any

import trio
from nose2.tools import params

from tests.callers.clients import Caller
from tests.processes.callers import PORT
from tests.processes.stop_callers import (
    DEADLINE_MS,
    StoppingVm,
    request_id,
    stopping_vm,
)
from tests.processes.stop_records import (
    LOSS_SLACK_S,
    SENT_MAX_S,
    find_broken_off,
)
from tests.processes.world import (
    PAGE,
    REPORT,
    SAFE,
    UNSAFE,
    UPLOAD,
    raw_head,
)

OK = 200
REFUSED = 503
# An upstream was at work: nobody knows whether the request has run.
BROKEN_OFF = 504
GRACE_S = 4
# That of the users.
LONG_GRACE_S = 6
RELOADED_GRACE_S = 30
# Longer than the grace, and shorter than the timeout of the route.
LONG = f'{PAGE}?work_s=8'
# As long as the work of the users' reports on average, with their timeout.
SLOW = f'{REPORT}?work_s=3.5'
# An answer that is streamed, longer than what kernels take.
LARGE = f'{PAGE}?length_b=40000000'
QUICK = f'{SAFE}?work_s=0'
EARLY_S = 0.5
LATE_S = 1.7
AT_ONCE_S = 0.3
LATE_SIGNAL_S = 0.7
# As much of the grace may be used, if nothing is late.
EXIT_RATIO = 0.95
MARGIN_S = 0.1
CALLERS = 3
# Between requests that are sent ahead: far more than wait at a time.
MANY_PAUSE_S = 0.02
BODY_B = 20_000


# The log gave the reason `closed` for what the end of a stop cut, and named no
# request: nothing led from a lost request to its cause.
def test_cut_requests_are_named() -> None:
    """Those on a connection that the end of the grace resets are named."""
    trio.run(_name_what_is_cut)


async def _name_what_is_cut() -> None:
    async with stopping_vm(GRACE_S) as vm:
        stream = await trio.open_tcp_stream(vm.world.vm.address, PORT)
        streamed, behind = (
            raw_head('GET', target, deadline_ms=DEADLINE_MS)
            for target in (LARGE, QUICK)
        )
        async with stream:
            # Nobody reads the answers.
            await stream.send_all(streamed + behind)
            await vm.wait_for_targets(LARGE, QUICK)
            vm.terminate()
            await vm.wait_for_exit()
    aborted = _logged(vm, 'request.aborted')[0]
    assert aborted['request'] == request_id(streamed)
    assert 'the VM stopped' in aborted['detail']
    cut = _logged(vm, 'request.cut')[0]
    assert cut['request'] == request_id(behind)
    assert GRACE_S / 2 < cut['stopping_s'] < cut['after_s']
    lost = _logged(vm, 'connection.lost')[0]
    assert (lost['reason'], lost['requests']) == ('answer_broken', 2)
    assert GRACE_S / 2 < lost['stopping_s']


# LOST: the end of the grace reset each connection with a request in progress,
# and the whole answers behind it with it.
def test_answers_behind_one_that_the_stop_ends() -> None:
    """Each request gets an answer: what is in progress a refusal."""
    trio.run(_end_the_first)


async def _end_the_first() -> None:
    async with stopping_vm(GRACE_S) as vm, trio.open_nursery() as nursery:
        nursery.start_soon(vm.send_ahead, (LONG, SAFE, SAFE, REPORT), 0)
        await vm.wait_for_targets(LONG, REPORT)
        vm.terminate()
        await vm.wait_for_exit()
    statuses = [request.status for request in vm.sent]
    assert statuses == [BROKEN_OFF, OK, OK, OK], statuses
    assert not vm.lost(), vm.lost()
    # Those before are of the VM's start.
    refused = _logged(vm, 'request.turned_down')[-1]
    assert (refused['code'], refused['ran']) == ('vm.stopped', 'unknown')


# LOST: a request that must not run twice, and waited behind one in progress,
# was lost at the end of the grace without a word that it had not run.
def test_request_that_waits_until_the_stop_ends() -> None:
    """It is told that it has not run, which is true."""
    trio.run(_wait_for_the_end)


async def _wait_for_the_end() -> None:
    async with stopping_vm(GRACE_S) as vm:
        stream = await trio.open_tcp_stream(vm.world.vm.address, PORT)
        async with stream:
            caller = Caller(stream)
            first = raw_head('GET', LONG, deadline_ms=DEADLINE_MS)
            length = ('content-length', '0')
            unsafe = raw_head('POST', UNSAFE, length, deadline_ms=DEADLINE_MS)
            await stream.send_all(first + unsafe)
            await vm.wait_for_targets(LONG)
            vm.terminate()
            answers = [await caller.answer(), await caller.answer()]
        await vm.wait_for_exit()
    assert [answer.status for answer in answers] == [BROKEN_OFF, REFUSED]
    assert answers[-1].headers['connection'] == 'close'
    assert request_id(unsafe) not in vm.upstream.works


def _logged(vm: StoppingVm, name: str) -> list[dict[str, Any]]:
    """Return the log lines of one event."""
    lines = map(json.loads, vm.world.vm.log_text.splitlines())
    return [line for line in lines if line['name'] == name]


# LOST: a VM that stopped took requests that it could not finish, and cut them.
def test_request_that_may_outlast_the_stop() -> None:
    """It is refused at once, has not run, and its connection is closed."""
    trio.run(_refuse_what_may_outlast_the_stop)


async def _refuse_what_may_outlast_the_stop() -> None:
    async with stopping_vm(GRACE_S) as vm:
        vm.terminate()
        await trio.sleep(EARLY_S)
        refused = [await vm.ask(SLOW), await vm.ask(SLOW)]
        served = await vm.ask(SAFE)
        await trio.sleep_until(vm.stop.at + LATE_S)
        refused.append(await vm.ask(LONG))
        await vm.wait_for_exit()
    assert served.status == OK
    for request in refused:
        assert request.status == REFUSED, request.describe(vm.stop)
        assert request.request_id not in vm.upstream.works
        assert request.ended_at - request.sent_at < AT_ONCE_S
    assert not find_broken_off(vm.sent, vm.upstream.works)


# LOST: a VM whose event loop was late with the signal took requests over 3 s
# after it, and cut them.
def test_signal_that_is_handled_late() -> None:
    """What is sent over 3 s after the signal is not taken and then cut."""
    trio.run(_stop_late)


async def _stop_late() -> None:
    async with stopping_vm(LONG_GRACE_S) as vm:
        vm.world.vm.send_signal(signal.SIGSTOP)
        vm.terminate()
        await trio.sleep(LATE_SIGNAL_S)
        vm.world.vm.send_signal(signal.SIGCONT)
        await trio.sleep_until(vm.stop.at + SENT_MAX_S + MARGIN_S)
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(vm.ask, SLOW)
        await vm.wait_for_exit()
    assert len(vm.sent) == CALLERS
    assert not vm.lost(), vm.lost()


# LOST: an upload whose body was still coming as the stop began was passed on
# when there was no time left for it.
def test_upload_that_is_whole_too_late() -> None:
    """It is refused, and has not run."""
    trio.run(_finish_upload_late)


async def _finish_upload_late() -> None:
    async with stopping_vm(GRACE_S) as vm:
        stream = await trio.open_tcp_stream(vm.world.vm.address, PORT)
        async with stream:
            length = ('content-length', f'{BODY_B}')
            target = f'{UPLOAD}?work_s=3'
            head = raw_head('POST', target, length, deadline_ms=DEADLINE_MS)
            await stream.send_all(head + bytes(BODY_B - 1))
            vm.terminate()
            await trio.sleep(LATE_S)
            await stream.send_all(b'x')
            answer = await Caller(stream).answer()
        await vm.wait_for_exit()
    assert answer.status == REFUSED
    assert request_id(head) not in vm.upstream.works


# LOST: a VM that stopped did not read what came behind a request in progress,
# and closed the connection after the answer: neither an answer nor a refusal.
@params((LONG, 0.2), (f'{REPORT}?work_s=3', 0.05))
def test_requests_behind_one_in_progress(first: str, pause_s: float) -> None:
    """Each that is sent before the close is announced gets an answer."""
    trio.run(_send_behind, first, pause_s)


# LOST: the same, for far more requests than are served at a time.
def test_many_requests_behind_one_in_progress() -> None:
    """All that are sent before the close is announced get an answer."""
    trio.run(_send_behind, SLOW, MANY_PAUSE_S)


async def _send_behind(first: str, pause_s: float) -> None:
    async with stopping_vm(GRACE_S) as vm, trio.open_nursery() as nursery:
        targets = (first, *itertools.repeat(SAFE, 400))
        until = trio.current_time() + GRACE_S
        nursery.start_soon(vm.send_ahead, targets, pause_s, until)
        await vm.wait_for_targets(first)
        vm.terminate()
        await vm.wait_for_exit()
    unanswered = [request for request in vm.sent if request.status is None]
    # What crosses the close on its way is not read.
    assert all(
        request.ended_at - request.sent_at < LOSS_SLACK_S
        for request in unanswered
    ), [request.describe(vm.stop) for request in unanswered]
    assert not vm.lost(), vm.lost()
    late = [
        request
        for request in vm.sent
        if request.sent_at > vm.stop.at + GRACE_S / 2
    ]
    assert late


# LOST: on a busy machine a VM exited after its grace, when the platform sends
# SIGKILL, and answers that had been sent were lost with unread bytes.
def test_exit_is_well_within_the_grace() -> None:
    """Also with a request in progress a part of the grace is left."""
    trio.run(_exit_in_time)


async def _exit_in_time() -> None:
    async with stopping_vm(LONG_GRACE_S) as vm, trio.open_nursery() as nursery:
        nursery.start_soon(vm.ask, LONG)
        await vm.wait_for_targets(LONG)
        vm.terminate()
        assert await vm.wait_for_exit() == 0
    assert vm.exited_at - vm.stop.at < LONG_GRACE_S * EXIT_RATIO
    # An upstream is left at its work until the last sixth of the grace.
    assert vm.sent[0].ended_at >= vm.stop.late_at
    assert vm.sent[0].status == BROKEN_OFF


# LOST: a grace that a reload had shortened did not count for connections: the
# process outlasted it, and was killed with requests in progress.
def test_grace_that_a_reload_shortened() -> None:
    """The next stop goes by it."""
    trio.run(_stop_after_reload)


async def _stop_after_reload() -> None:
    async with stopping_vm(RELOADED_GRACE_S) as vm:
        settings = vm.world.vm.settings
        shorter = settings.read_text().replace(
            f'grace = "{RELOADED_GRACE_S}s"', f'grace = "{GRACE_S}s"'
        )
        settings.write_text(shorter)
        vm.world.vm.send_signal(signal.SIGHUP)
        while not _logged(vm, 'edge.reloaded'):
            await trio.sleep(MARGIN_S)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(vm.ask, LONG)
            await vm.wait_for_targets(LONG)
            vm.terminate()
            await vm.wait_for_exit()
    assert vm.exited_at - vm.stop.at < GRACE_S
    assert vm.sent[0].status == BROKEN_OFF
