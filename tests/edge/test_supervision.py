"""A system error or a fault in one task of a VM does not end the VM."""

import errno
import os
import signal
from collections.abc import Awaitable, Callable
from unittest.mock import patch

import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.callers.listener import CallersListener
from chestnutshift.edge import events
from chestnutshift.edge.crash_guard import CrashGuard
from chestnutshift.edge.datagram_port import DatagramPort
from chestnutshift.edge.health_checks import HealthChecker
from chestnutshift.edge.reach_monitor import ReachMonitor
from chestnutshift.edge.settings_watch import SettingsWatch
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.state_updater import StateUpdater
from chestnutshift.edge.store_polling import StorePoller
from chestnutshift.edge.vm_registration import Registrar
from chestnutshift.events.log import EventFilter
from chestnutshift.logs.bounded import BoundedLines
from chestnutshift.steering.upstreams import Condition
from tests.edge.injections import (
    Injection,
    injecting,
    short_pauses,
    system_errors,
)
from tests.edge.stand_ins import UpstreamStandIn
from tests.edge.world import ADDRESS, World, running_edge, until

HTTP_OK = 200
Stimulus = Callable[[World], Awaitable[None]]


async def _wait(_world: World) -> None:
    """Do nothing: the task runs by itself."""


async def _lose_registration(world: World) -> None:
    world.state.registration_lost.set()


async def _write_row(world: World) -> None:
    world.register(UpstreamStandIn('i-new'), 1)


async def _send_datagram(world: World) -> None:
    address = (ADDRESS, world.state.settings.peer_port)
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
        await sock.sendto(b'none', address)


async def _send_signal(_world: World) -> None:
    os.kill(os.getpid(), signal.SIGHUP)
    await trio.sleep(0.01)


def _unexpected() -> list[Exception]:
    return [
        ZeroDivisionError('a fault'),
        OSError(errno.EINVAL, 'a call that is wrong'),
    ]


def _faults(state: EdgeState) -> list[str]:
    logged = state.event_log.select(EventFilter(number=events.FAULT.number))
    return [event.facts['work'] for event in logged]


async def _inject(
    world: World, injection: Injection, error: Exception, stimulus: Stimulus
) -> None:
    """Raise the error in the task; fail unless the task runs on."""
    before = len(_faults(world.state))
    injection.error = error
    with trio.fail_after(5):
        while injection.error is not None:
            await stimulus(world)
            await trio.sleep(0.005)
        calls = injection.calls
        while injection.calls == calls:
            await stimulus(world)
            await trio.sleep(0.005)
    is_system = isinstance(error, OSError) and error.errno != errno.EINVAL
    assert len(_faults(world.state)) - before == int(not is_system), error


# FAULT: one system error, or one fault, in a task of its own ended the VM.
@params(
    (CrashGuard, 'review', _wait),
    (StorePoller, 'poll_if_due', _wait),
    (EdgeState, 'is_ready', _wait),
    (EdgeState, 'reload', _wait),
    (SettingsWatch, '_reload', _send_signal),
    (StateUpdater, 'apply_upstreams', _write_row),
    (Registrar, '_register_until_confirmed', _lose_registration),
    (HealthChecker, '_due_upstreams', _wait),
    (ReachMonitor, 'review', _wait),
    (EdgeState, 'record_proof', _wait),
    (DatagramPort, 'receive', _send_datagram),
    (BoundedLines, 'flush', _wait),
)
@trio_test
async def test_task_that_raises(
    owner: type, name: str, stimulus: Stimulus
) -> None:
    """The task goes on; a fault is logged and counted, a system error is not.

    Requests are served afterwards.
    """
    with short_pauses(), injecting(owner, name) as injection:
        async with running_edge('serve') as world:
            world.expects_faults = True
            for error in (*system_errors(), *_unexpected()):
                await _inject(world, injection, error, stimulus)
            await world.until_proven()
            assert (await world.ask()).status_code == HTTP_OK


# LOST: a fault in the stop ended the requests at work.
@trio_test
async def test_stop_that_raises() -> None:
    """The stop goes on to its end."""
    with (
        short_pauses(),
        injecting(CallersListener, 'begin_stop') as injection,
    ):
        async with (
            running_edge('slow') as world,
            trio.open_nursery() as nursery,
        ):
            world.expects_faults = True
            answers = []

            async def ask() -> None:
                answers.append(await world.ask())

            nursery.start_soon(ask)
            await until(lambda: world.upstreams[0].received)
            injection.error = ZeroDivisionError('a fault')
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: answers)
            assert answers[0].status_code == HTTP_OK


# FAULT: checks under way as the checker raised were never repeated.
@trio_test
async def test_check_under_way_as_the_checker_raises() -> None:
    """The upstream is checked again and becomes ready."""
    with (
        short_pauses(),
        injecting(HealthChecker, '_due_upstreams') as injection,
    ):
        async with running_edge('serve') as world:
            world.expects_faults = True
            upstream = next(iter(world.state.directory))
            started = trio.Event()

            async def hang(*_args: object) -> None:
                started.set()
                await trio.sleep_forever()

            sender = 'chestnutshift.edge.check_sender.CheckSender.send'
            with patch(sender, hang):
                upstream.condition = Condition.UNPROVEN
                await started.wait()
                injection.error = ZeroDivisionError('a fault')
                await until(lambda: injection.error is None)
            await until(lambda: upstream.condition is Condition.READY)
