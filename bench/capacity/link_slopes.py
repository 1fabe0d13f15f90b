"""Slopes of the links between VMs, measured over loopback in one process."""

import importlib
import time

import attrs
import trio

from bench.capacity import messages
from bench.capacity.fits import Point
from bench.capacity.slopes import BYTES, SECONDS, slope
from chestnutshift.events.log import EventLog

CODEC = 'chestnutshift.wire.codec'
TYPES = 'chestnutshift.wire.generated.links.ttypes'
HANDLERS = 'chestnutshift.links.handlers'
PEER = 'chestnutshift.links.peer'
SERVER = 'chestnutshift.links.server'
SETTINGS = 'chestnutshift.conf.settings'
NEEDS = (CODEC, TYPES)
SECRET = bytes(32)
CALL_TIMEOUT_S = 5.0
LOOPBACK = '127.0.0.1'
PEER_COUNTS = (4, 8, 16, 32)
CHAIN_LENGTHS = (2, 4, 8)
CHILD_COUNTS = (2, 4, 8, 16)
ROUNDS = 100
CHANGES = 100
CHANGE_B = 160
SERVICES = 4


def _types():
    return importlib.import_module(TYPES)


def _encode(body) -> bytes:
    frame = _types().Frame(sequence=100_000, clock=1 << 56, body=body)
    return importlib.import_module(CODEC).encode(frame)


def heartbeat_body(services: int = SERVICES):
    """Return the message body of a heartbeat with all fields set."""
    heartbeat = messages.fill(_types().Heartbeat, services)
    return _types().Body(heartbeat=heartbeat)


def change_frame() -> bytes:
    """Return the encoded frame of a small configuration change."""
    document = _types().ConfigurationDocument(
        number=1_000_000,
        document=bytes(CHANGE_B),
    )
    return _encode(_types().Body(configuration_document=document))


@slope('heartbeat_size', 'one round of heartbeats', 'peer', BYTES, NEEDS)
def measure_heartbeat_size() -> list[Point]:
    """Measure the bytes of a heartbeat and its answer for each peer."""
    exchange = len(_encode(heartbeat_body())) * 2
    return [Point(count, exchange * count) for count in PEER_COUNTS]


@slope(
    'short_heartbeat_size',
    'one round of heartbeats without loads',
    'peer',
    BYTES,
    needs=NEEDS,
)
def measure_short_heartbeat_size() -> list[Point]:
    """Measure the bytes of a heartbeat and its answer for each peer."""
    exchange = len(_encode(heartbeat_body(services=0))) * 2
    return [Point(count, exchange * count) for count in PEER_COUNTS]


@slope('change_size', 'changes of the configuration', 'change', BYTES, NEEDS)
def measure_change_size() -> list[Point]:
    """Measure the bytes of changes, each about one key's record."""
    return [Point(count, len(change_frame()) * count) for count in PEER_COUNTS]


@slope('loan_size', 'a batch of requests for loans', 'account', BYTES, NEEDS)
def measure_loan_size() -> list[Point]:
    """Measure the bytes of one batch by its accounts."""
    return [Point(count, _loan_size(count)) for count in PEER_COUNTS]


def _loan_size(count: int) -> int:
    batch = messages.fill(_types().RateRequests, count)
    return len(_encode(_types().Body(rate_requests=batch)))


@attrs.define
class _Node:
    """A node that passes the frames of a link on to its children."""

    children: list[trio.abc.Stream] = attrs.field(factory=list)
    arrived: trio.Event = attrs.field(factory=trio.Event)

    async def relay(self, stream: trio.abc.Stream) -> None:
        """Decode each frame and encode it again for each child."""
        codec = importlib.import_module(CODEC)
        reader = codec.FrameReader(stream)
        while True:
            frame = await reader.read()
            for child in self.children:
                await child.send_all(codec.encode(frame))
            self.arrived.set()


async def _open_link(nursery: trio.Nursery, node: _Node) -> trio.abc.Stream:
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    port = listeners[0].socket.getsockname()[1]
    stream = await trio.open_tcp_stream(LOOPBACK, port)
    accepted = await listeners[0].accept()
    await listeners[0].aclose()
    nursery.start_soon(node.relay, accepted)
    return stream


async def _time_arrival(nodes: list[_Node], root: trio.abc.Stream) -> float:
    frame = change_frame()
    started = time.perf_counter()
    for _ in range(CHANGES):
        await root.send_all(frame)
        for node in nodes:
            await node.arrived.wait()
            node.arrived = trio.Event()
    return (time.perf_counter() - started) / CHANGES


async def _time_chain(length: int) -> float:
    nodes = [_Node() for _ in range(length)]
    async with trio.open_nursery() as nursery:
        streams = [await _open_link(nursery, node) for node in nodes]
        for node, child in zip(nodes, streams[1:], strict=False):
            node.children.append(child)
        elapsed_s = await _time_arrival(nodes, streams[0])
        nursery.cancel_scope.cancel()
    return elapsed_s


async def _time_children(count: int) -> float:
    parent = _Node()
    nodes = [_Node() for _ in range(count)]
    async with trio.open_nursery() as nursery:
        root = await _open_link(nursery, parent)
        for node in nodes:
            parent.children.append(await _open_link(nursery, node))
        elapsed_s = await _time_arrival([parent, *nodes], root)
        nursery.cancel_scope.cancel()
    return elapsed_s


@slope('hop_time', 'a change down a chain of relays', 'hop', SECONDS, NEEDS)
def measure_hop_time() -> list[Point]:
    """Measure the wall time of changes passed down a chain of nodes."""
    return [
        Point(length, trio.run(_time_chain, length)) for length in CHAIN_LENGTHS
    ]


@slope('child_time', 'a change to all children', 'child', SECONDS, NEEDS)
def measure_child_time() -> list[Point]:
    """Measure the wall time of changes passed to all children."""
    return [
        Point(count, trio.run(_time_children, count)) for count in CHILD_COUNTS
    ]


async def _free_port() -> int:
    listeners = await trio.open_tcp_listeners(0, host=LOOPBACK)
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    return port


def _make_server():
    handlers = importlib.import_module(HANDLERS).Handlers()

    @handlers.register('heartbeat')
    async def answer(_peer: str, _message: object):
        return heartbeat_body()

    server = importlib.import_module(SERVER).LinkServer
    return server('server', 'one', SECRET, handlers, EventLog('server'))


def _make_link(port: int):
    peer = importlib.import_module(PEER)
    address = importlib.import_module(SETTINGS).PeerAddress(
        name='server',
        address=LOOPBACK,
        port=port,
        failure_domain='domain-1',
        region='region-1',
        url='',
    )
    identity = peer.Identity('dialler', 'one', SECRET)
    return peer.PeerLink(address, identity, EventLog('dialler'))


@attrs.define
class _Rounds:
    """Counts the heartbeats of all links; started is a processor time."""

    total: int
    count: int = 0
    done: trio.Event = attrs.field(factory=trio.Event)
    started: float = 0

    async def exchange(self, link) -> None:
        """Exchange one heartbeat; set done once all have been exchanged."""
        if self.count == 0:
            self.started = time.process_time()
        self.count += 1
        await link.call(heartbeat_body(), CALL_TIMEOUT_S)
        if self.count >= self.total:
            self.done.set()


async def _time_heartbeats(count: int) -> float:
    port = await _free_port()
    rounds = _Rounds(ROUNDS * count)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_make_server().serve, LOOPBACK, port, CALL_TIMEOUT_S)
        for _ in range(count):
            link = _make_link(port)
            nursery.start_soon(link.run, 0, CALL_TIMEOUT_S, rounds.exchange)
        await rounds.done.wait()
        elapsed_s = time.process_time() - rounds.started
        nursery.cancel_scope.cancel()
    return elapsed_s / ROUNDS


@slope(
    'heartbeat_time',
    'one round of heartbeats',
    'peer',
    SECONDS,
    needs=(*NEEDS, HANDLERS, PEER, SERVER, SETTINGS),
)
def measure_heartbeat_time() -> list[Point]:
    """Measure the processor time of both sides of heartbeats."""
    return [
        Point(count, trio.run(_time_heartbeats, count)) for count in PEER_COUNTS
    ]
