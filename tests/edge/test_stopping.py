"""Graceful stop, reload, disconnecting callers, unproven upstreams."""

import os
import signal

import attrs
import httpx
import trio
from trio.testing import trio_test

from chestnutshift.edge.settings import Bounds
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.heartbeats import MemberPhase
from chestnutshift.steering.upstreams import Condition
from tests.edge.world import make_settings, running_edge, until

NEW_BOUND_S = 3.0


@trio_test
async def test_stop_completes_requests_in_flight() -> None:
    """A request in flight is answered while the VM is no longer ready."""
    async with running_edge('slow') as world:
        answers: list[httpx.Response] = []

        async def ask() -> None:
            answers.append(await world.ask())

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await until(lambda: bool(world.upstreams[0].received))
            os.kill(os.getpid(), signal.SIGTERM)
            await until(lambda: world.state.phase is MemberPhase.STOPPING)
            readiness = world.state.settings.readiness
            ready = await world.call(readiness, '/-/readyz')
            assert ready.status_code == 503
        assert answers[0].status_code == 200


@trio_test
async def test_reload_applies_new_bounds() -> None:
    """SIGHUP puts the bounds of the settings file in force."""
    async with running_edge('serve') as world:
        bounds = attrs.evolve(Bounds(), withdrawal_s=NEW_BOUND_S)
        world.settings_file = attrs.evolve(world.state.settings, bounds=bounds)
        os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: world.state.settings.bounds == bounds)
        assert int(world.state.freshness.bound_s) == int(NEW_BOUND_S)
        assert (await world.ask()).status_code == 200


def test_settings_needing_restart_reported_once() -> None:
    """A changed address needs a restart and is reported once."""
    settings = make_settings(store_port=1)
    state = EdgeState(settings, 1, EventLog('vm-1'))
    moved = attrs.evolve(settings, address='127.0.0.2')
    assert state.reload(moved) == ['address']
    assert not state.reload(moved)
    assert state.settings.address == settings.address


@trio_test
async def test_disconnected_caller_frees_its_upstream() -> None:
    """The upstream's connection is closed soon after the caller's."""
    async with running_edge('silent') as world:
        with trio.move_on_after(0.3):
            await world.ask()
        await until(lambda: world.upstreams[0].cancelled == 1)
        assert not next(world.state.directory.__iter__()).in_flight


@trio_test
async def test_health_check_makes_upstream_ready_again() -> None:
    """An upstream whose exchange broke gets no requests until checked."""
    async with running_edge('broken') as world:
        upstream = world.upstreams[0]
        answer = await world.ask()
        assert answer.status_code in {502, 503}
        known = world.state.directory.find('i-0')
        await until(lambda: known.condition is Condition.READY)
        assert upstream.checks
        upstream.behaviour = 'serve'
        assert (await world.ask()).status_code == 200
