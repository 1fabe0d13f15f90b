"""Upstreams that send an answer a second time, late.

The copy comes on the same connection, where the next answer is due.
"""

import copy
import re
from collections import Counter

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.steering.upstreams import Condition
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import World, running_edge_at, until
from tests.platform.samples import ROUTE_TABLE

LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'x-chestnutshift-not-executed: 1\r\n'
    b'x-chestnutshift-server-load: 0,0,9\r\n'
    b'content-length: 0\r\n%b\r\n'
)
SUCCESS = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: 4\r\n\r\ndone'
)
ATTEMPTS_MAX = 3
REQUESTS = 6
NAMED = b'x-chestnutshift-request-id: %b\r\n'


async def _read_request(stream: trio.SocketStream) -> bytes:
    """Return the head of a request, having read its body."""
    received = b''
    while b'\r\n\r\n' not in received:
        chunk = await stream.receive_some(65_536)
        if not chunk:
            raise trio.EndOfChannel
        received += chunk
    head, _, body = received.partition(b'\r\n\r\n')
    length = LENGTH.search(head)
    while length and len(body) < int(length[1]):
        body += await stream.receive_some(65_536)
    return head


@attrs.define
class RepeatingUpstream:
    """An upstream that refuses some requests, each a second time late.

    The first attempt of each request is refused if refuses_requests is set,
    and health checks if refuses_checks is set, without an id. runs counts the
    requests that it ran, connections those that it accepted.
    """

    refuses_requests: bool = False
    refuses_checks: bool = False
    runs: Counter[bytes] = attrs.field(factory=Counter)
    connections: int = 0
    refused_checks: int = 0
    _refused: set[bytes] = attrs.field(factory=set)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        try:
            async with stream:
                await self._serve(stream)
        except (trio.EndOfChannel, trio.BrokenResourceError):
            return

    async def _serve(self, stream: trio.SocketStream) -> None:
        late = b''
        while True:
            head = await _read_request(stream)
            if late:
                await stream.send_all(late)
            late = self._refusal(head)
            await stream.send_all(late or self._run(head))

    def _refusal(self, head: bytes) -> bytes:
        """Return the refusal of the request, empty to run it."""
        named = REQUEST_ID.search(head)
        if named is None:
            self.refused_checks += self.refuses_checks
            return REFUSAL % b'' if self.refuses_checks else b''
        if not self.refuses_requests or named[1] in self._refused:
            return b''
        self._refused.add(named[1])
        return REFUSAL % (NAMED % named[1])

    def _run(self, head: bytes) -> bytes:
        named = REQUEST_ID.search(head)
        if named is None:
            return b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
        self.runs[named[1]] += 1
        return SUCCESS % named[1]


def _unsafe_routes() -> dict[str, object]:
    """Return routes whose requests may run once, and be tried again."""
    routes = copy.deepcopy(ROUTE_TABLE['routes'])
    search = routes['rows'][0]
    search[routes['cols'].index('kind')] = 'unsafe'
    search[routes['cols'].index('attempts')] = ATTEMPTS_MAX
    return routes


async def _post(world: World, upstream: RepeatingUpstream, number: int) -> bool:
    """Send a request; return whether its answer is true of its runs."""
    request_id = f'r-{number}'
    answer = await world.ask(
        method='POST', body=b'b', x_chestnutshift_request_id=request_id
    )
    runs = upstream.runs[request_id.encode()]
    # A late copy that comes to another request breaks its exchange: 502.
    permitted = {200: {1}, 502: {0, 1}, 503: {0}}
    return runs in permitted[answer.status_code]


# TWICE: a late copy of a refusal was taken for the answer to the next attempt.
@trio_test
async def test_late_copy_of_a_refusal() -> None:
    """No request runs twice, and none is refused that has run."""
    upstream = RepeatingUpstream(refuses_requests=True)
    async with running_edge_at(
        upstream.serve, routes=_unsafe_routes()
    ) as world:
        for number in range(REQUESTS):
            assert await _post(world, upstream, number)
    assert sum(upstream.runs.values())


async def _check(world: World, upstream: RepeatingUpstream) -> None:
    """Have the VM send the upstream a health check, which is refused."""
    found = next(iter(world.state.directory))
    checks = upstream.refused_checks
    found.condition = Condition.UNPROVEN
    await until(lambda: upstream.refused_checks > checks)
    await until(lambda: found.condition is Condition.READY)


# REFUSED: the late copy of a refused health check names no request, and was
# taken for the refusal of the next request on the connection.
@trio_test
async def test_late_copy_of_a_refused_check() -> None:
    """No request runs twice, and none is refused that has run."""
    upstream = RepeatingUpstream(refuses_checks=True)
    async with running_edge_at(
        upstream.serve, routes=_unsafe_routes()
    ) as world:
        for number in range(REQUESTS):
            await _check(world, upstream)
            assert await _post(world, upstream, number)
    assert sum(upstream.runs.values())
