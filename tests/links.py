"""Loopback TCP proxy that can delay, reset, refuse or stall connections."""

import enum
import functools
import socket
from collections.abc import Awaitable, Callable

import attrs
import trio

CHUNK_B = 65_536
# struct linger, on with a timeout of 0 s: closing the socket sends a reset.
LINGER_ZERO = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class LinkFault(enum.StrEnum):
    """Faults of a link."""

    NONE = 'none'
    DELAYED = 'delayed'
    RESET = 'reset'
    # New connections are refused, and open ones are reset.
    DOWN = 'down'
    # Requests are forwarded, answers are not.
    ONE_WAY = 'one_way'
    # Nothing is forwarded, and connections stay open.
    SILENT = 'silent'
    # Nothing is forwarded; what is held up arrives later, unless its sender
    # has reset the connection meanwhile.
    HELD_UP = 'held_up'
    # The port refuses new connections, and open ones are reset.
    REFUSED = 'refused'
    # The port refuses new connections, and open ones live on.
    CLOSED_TO_NEW = 'closed_to_new'
    # A refusal comes a second time, where the next answer is due.
    LATE_COPIES = 'late_copies'


DELAY_S = 0.4
REFUSAL = b'HTTP/1.1 503'
ADDRESS = '127.0.0.1'
_REFUSING = frozenset((LinkFault.REFUSED, LinkFault.CLOSED_TO_NEW))
_SILENT = frozenset((LinkFault.SILENT, LinkFault.HELD_UP))
_RESETTING = frozenset((LinkFault.RESET, LinkFault.DOWN, LinkFault.REFUSED))


@attrs.define
class Link:
    """TCP proxy in front of one server, with at most one fault at a time."""

    server_port: int
    fault: LinkFault = LinkFault.NONE
    port: int = 0
    _open_streams: set[trio.SocketStream] = attrs.field(factory=set)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, task_status: trio.TaskStatus) -> None:
        """Forward connections until cancelled."""
        # Holds the port while no socket listens on it.
        with _bound_socket(0) as holder:
            self.port = holder.getsockname()[1]
            async with trio.open_nursery() as nursery:
                task_status.started()
                await self._run_listener(nursery)

    def set_fault(self, fault: LinkFault) -> None:
        """Apply the fault to new and open connections."""
        self.fault = fault
        self._changed.set()
        self._changed = trio.Event()
        if fault in _RESETTING:
            self._reset_all()

    async def _run_listener(self, connections: trio.Nursery) -> None:
        """Listen except while new connections are refused."""
        while True:
            await self._listen_until_refusing(connections)
            while self.fault in _REFUSING:
                await self._changed.wait()

    async def _listen_until_refusing(self, connections: trio.Nursery) -> None:
        sock = _bound_socket(self.port)
        sock.listen()
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                lambda: trio.serve_listeners(
                    self._serve_connection,
                    [listener],
                    handler_nursery=connections,
                )
            )
            while self.fault not in _REFUSING:
                await self._changed.wait()
            nursery.cancel_scope.cancel()

    def _reset_all(self) -> None:
        for stream in tuple(self._open_streams):
            _reset(stream)

    async def _serve_connection(self, client: trio.SocketStream) -> None:
        if self.fault is LinkFault.DOWN:
            _reset(client)
            return
        try:
            server = await trio.open_tcp_stream(ADDRESS, self.server_port)
        except OSError:
            _reset(client)
            return
        self._open_streams |= {client, server}
        late = _LateCopy(client)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._forward,
                    client,
                    server,
                    self._forwards_requests,
                    late.send,
                )
                nursery.start_soon(
                    self._forward,
                    server,
                    client,
                    self._forwards_answers,
                    functools.partial(late.keep, self),
                )
        finally:
            self._open_streams -= {client, server}
            _reset(client)
            _reset(server)

    def _forwards_requests(self) -> bool:
        return self.fault not in _SILENT

    def _forwards_answers(self) -> bool:
        return self.fault not in {*_SILENT, LinkFault.ONE_WAY}

    async def _forward(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        may_forward: Callable[[], bool],
        prepare: Callable[[bytes], Awaitable[None]],
    ) -> None:
        """Forward one direction; prepare is called with what comes next."""
        try:
            while True:
                content = await source.receive_some(CHUNK_B)
                if self.fault is LinkFault.DELAYED:
                    await trio.sleep(DELAY_S)
                while not may_forward():
                    await self._changed.wait()
                    _raise_if_reset(source)
                if not content:
                    await target.send_eof()
                    return
                await prepare(content)
                await target.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # End the other direction as well.
            _reset(source)
            _reset(target)


@attrs.define
class _LateCopy:
    """The refusal of one connection that comes a second time."""

    _client: trio.SocketStream
    _content: bytes = b''

    async def keep(self, link: Link, content: bytes) -> None:
        """Keep an answer for later if it is a refusal."""
        is_copied = link.fault is LinkFault.LATE_COPIES
        if is_copied and content.startswith(REFUSAL):
            self._content = content

    async def send(self, _request: bytes) -> None:
        """Send the copy where the answer to the next request is due."""
        if self._content:
            copy = self._content
            self._content = b''
            await self._client.send_all(copy)


@attrs.define
class LinkGroup:
    """Links to one server that have the same fault."""

    links: list[Link] = attrs.field(factory=list)
    fault: LinkFault = LinkFault.NONE
    # The links have ports of their own.
    port: int = 0

    def set_fault(self, fault: LinkFault) -> None:
        """Apply the fault to all links."""
        self.fault = fault
        for link in self.links:
            link.set_fault(fault)


def _raise_if_reset(stream: trio.SocketStream) -> None:
    """Raise OSError if the other side has reset the connection."""
    error = stream.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, 'the connection was reset')


def _bound_socket(port: int) -> socket.socket:
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((ADDRESS, port))
    return sock


def _reset(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER_ZERO
        )
    except OSError:
        return
    stream.socket.close()
