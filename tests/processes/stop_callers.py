"""Callers that go on sending while a VM process stops."""

import math
import signal
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager, suppress

import attrs
import trio

from tests.callers.clients import Caller
from tests.processes.callers import PORT
from tests.processes.stop_records import Sent, Stop, find_lost
from tests.processes.upstreams import NAME, ObedientUpstream
from tests.processes.vms import Launch
from tests.processes.world import ROUTES, ProcessWorld, raw_head, running_vms

DEADLINE_MS = 20_000
POLL_S = 0.01
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


@attrs.define
class StoppingVm:
    """A VM process, its upstream, and what its callers sent."""

    world: ProcessWorld
    upstream: ObedientUpstream
    grace_s: float
    sent: list[Sent] = attrs.field(factory=list)
    stop: Stop | None = None
    exited_at: float = math.inf

    def terminate(self) -> None:
        """Send the VM a SIGTERM."""
        self.stop = Stop(trio.current_time(), self.grace_s)
        self.world.vm.send_signal(signal.SIGTERM)

    async def wait_for_targets(self, *targets: str) -> None:
        """Wait until requests with these targets have been passed on."""
        while not set(targets).issubset(self.upstream.targets):
            await trio.sleep(POLL_S)

    async def wait_for_exit(self) -> int:
        """Return the exit code; note the time of the exit."""
        code = await self.world.vm.wait(self.grace_s * 2)
        self.exited_at = trio.current_time()
        return code

    def lost(self) -> list[str]:
        """Return a line for each request that the stop must not lose."""
        return find_lost(self.sent, self.upstream.works, self.stop)

    async def ask(self, target: str) -> Sent | None:
        """Send a request on a new connection; None if it is not accepted."""
        try:
            stream = await trio.open_tcp_stream(self.world.vm.address, PORT)
        except OSError:
            return None
        async with stream:
            return await self._exchange(Caller(stream), target)

    async def send_ahead(
        self, targets: Sequence[str], pause_s: float, until: float = math.inf
    ) -> list[Sent]:
        """Pipeline requests on one connection, and return what became of them.

        The caller stops once an answer announces the close, or at a time of
        trio; it reads until the connection ends. It sends nothing if its
        connection is not accepted.
        """
        try:
            stream = await trio.open_tcp_stream(self.world.vm.address, PORT)
        except OSError:
            return []
        pipeline = Pipeline(Caller(stream))
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(pipeline.read)
            for target in targets:
                if pipeline.is_closing or trio.current_time() >= until:
                    break
                await pipeline.send(target)
                await trio.sleep(pause_s)
            pipeline.has_sent_all = True
            await pipeline.ended.wait()
            nursery.cancel_scope.cancel()
        results = pipeline.results()
        self.sent += results
        return results

    async def _exchange(self, caller: Caller, target: str) -> Sent:
        head = raw_head('GET', target, deadline_ms=DEADLINE_MS)
        sent_at = trio.current_time()
        status = None
        with suppress(AssertionError, *BROKEN):
            await caller.send(head)
            status = (await caller.answer()).status
        result = Sent(
            request_id(head),
            target,
            sent_at,
            trio.current_time(),
            timeout_s(target),
            status,
        )
        self.sent.append(result)
        return result


@attrs.define
class Pipeline:
    """Requests that are sent ahead on one connection, and their answers."""

    caller: Caller
    is_closing: bool = False
    has_sent_all: bool = False
    ended: trio.Event = attrs.field(factory=trio.Event)
    _waiting: list[Sent] = attrs.field(factory=list)
    _answered: list[Sent] = attrs.field(factory=list)
    _ended_at: float = math.inf

    async def send(self, target: str) -> None:
        """Send one request, which is answered after those before it."""
        head = raw_head('GET', target, deadline_ms=DEADLINE_MS)
        self._waiting.append(
            Sent(
                request_id(head),
                target,
                trio.current_time(),
                math.inf,
                timeout_s(target),
            )
        )
        with suppress(*BROKEN):
            await self.caller.send(head)

    async def read(self) -> None:
        """Read answers until one announces the close, or there is no more."""
        with suppress(Exception):
            while not self.is_closing:
                answer = await self.caller.answer()
                request = self._waiting.pop(0)
                self._answered.append(
                    attrs.evolve(
                        request,
                        status=answer.status,
                        ended_at=trio.current_time(),
                    )
                )
                closes = answer.headers.get('connection') == 'close'
                self.is_closing = self.is_closing or closes
        self._ended_at = trio.current_time()
        self.is_closing = True
        self.ended.set()

    def results(self) -> list[Sent]:
        """Return all requests, those without an answer last."""
        lost = [
            attrs.evolve(request, ended_at=self._ended_at)
            for request in self._waiting
        ]
        return self._answered + lost


def request_id(head: bytes) -> str:
    """Return the id in the head of a request."""
    return head.split(b'x-chestnutshift-request-id: ')[1].split()[0].decode()


def timeout_s(target: str) -> float:
    """Return the timeout of a target's route, shorter than the callers'."""
    for _, prefix, _, timeout, *_ in ROUTES:
        if target.startswith(prefix):
            return float(timeout.removesuffix('s'))
    raise LookupError(target)


@asynccontextmanager
async def stopping_vm(grace_s: int) -> AsyncIterator[StoppingVm]:
    """Run a VM with one upstream and that grace period for the block."""
    upstream = ObedientUpstream()
    launch = Launch(grace_s=grace_s)
    async with running_vms(1, {NAME: upstream}, launch) as world:
        await world.wait_until_served(world.vm)
        yield StoppingVm(world, upstream, grace_s)
