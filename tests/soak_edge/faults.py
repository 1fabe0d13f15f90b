"""Faults that the soak injects from outside, by name."""

import signal
from collections.abc import Awaitable, Callable

import trio

from chestnutshift.registry import Registry
from tests.soak_edge.links import Harm
from tests.soak_edge.vms import SoakVm
from tests.soak_edge.world import SoakWorld

Fault = Callable[[SoakWorld], Awaitable[None]]

FAULTS: Registry[Fault] = Registry('fault of the soak')
AWAY_S = (0, 2)
HARM_S = (0.5, 7.0)
STOP_S = 8.0
HARMS = (Harm.DELAYED, Harm.RESET, Harm.CUT, Harm.ONE_WAY, Harm.SILENT)


@FAULTS.register('kill')
async def kill(world: SoakWorld) -> None:
    """Kill a VM, and start it again."""
    vm = world.rng.choice(world.vms)
    await vm.end()
    await trio.sleep(world.rng.uniform(*AWAY_S))
    vm.start()


@FAULTS.register('kill_all')
async def kill_all(world: SoakWorld) -> None:
    """Kill every VM at once, and start them again."""
    for vm in world.vms:
        await vm.end()
    for vm in world.vms:
        await trio.sleep(world.rng.uniform(0, 0.3))
        vm.start()


@FAULTS.register('stop')
async def stop(world: SoakWorld) -> None:
    """Stop a VM in order, and start it again."""
    vm = world.rng.choice(world.vms)
    vm.send(signal.SIGTERM)
    with trio.move_on_after(STOP_S):
        while vm.is_running:
            await trio.sleep(0.1)
    await vm.end()
    vm.start()


@FAULTS.register('freeze')
async def freeze(world: SoakWorld) -> None:
    """Suspend a VM for some seconds."""
    vm = world.rng.choice(world.vms)
    await _while_sent(world, vm, signal.SIGSTOP, signal.SIGCONT)


@FAULTS.register('reload')
async def reload(world: SoakWorld) -> None:
    """Have a VM read its settings again."""
    world.rng.choice(world.vms).send(signal.SIGHUP)


@FAULTS.register('store_link')
async def harm_store_link(world: SoakWorld) -> None:
    """Harm one VM's way to the store."""
    link = world.rng.choice(world.store_links)
    link.set_harm(world.rng.choice(HARMS))
    await trio.sleep(world.rng.uniform(*HARM_S))
    link.set_harm(Harm.NONE)


@FAULTS.register('store_down')
async def store_down(world: SoakWorld) -> None:
    """Let the store answer nothing but errors."""
    world.store.is_down = True
    await trio.sleep(world.rng.uniform(*HARM_S))
    world.store.is_down = False


@FAULTS.register('upstream_link')
async def harm_upstream_link(world: SoakWorld) -> None:
    """Harm every VM's way to one upstream."""
    link = world.rng.choice(list(world.upstream_links.values()))
    link.set_harm(world.rng.choice(HARMS))
    await trio.sleep(world.rng.uniform(*HARM_S))
    link.set_harm(Harm.NONE)


@FAULTS.register('upstream_leaves')
async def upstream_leaves(world: SoakWorld) -> None:
    """Take an upstream off the list, and list it as started anew."""
    name = world.rng.choice(list(world.upstream_links))
    world.delist(name)
    await trio.sleep(world.rng.uniform(*HARM_S))
    world.enlist(name)


@FAULTS.register('replace_key')
async def replace_key(world: SoakWorld) -> None:
    """Withdraw a key and give another."""
    world.replace_key()


async def _while_sent(
    world: SoakWorld,
    vm: SoakVm,
    begin: signal.Signals,
    end: signal.Signals,
) -> None:
    vm.send(begin)
    await trio.sleep(world.rng.uniform(*HARM_S))
    vm.send(end)
