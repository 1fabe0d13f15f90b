"""A loopback proxy whose connections can be delayed, reset, cut or silenced."""

import enum
from collections.abc import Callable

import attrs
import trio

PIECE_B = 65_536
LINGER_OFF = b'\x01\x00\x00\x00\x00\x00\x00\x00'


class Harm(enum.StrEnum):
    """What a link does to the bytes on their way."""

    NONE = 'none'
    DELAYED = 'delayed'
    RESET = 'reset'
    # New connections are refused, those that are there end.
    CUT = 'cut'
    # Bytes to the server pass, answers do not.
    ONE_WAY = 'one_way'
    SILENT = 'silent'


DELAY_S = 0.4


@attrs.define
class Link:
    """The way from one client to one server."""

    server_port: int
    harm: Harm = Harm.NONE
    port: int = 0
    _open: set[trio.SocketStream] = attrs.field(factory=set)
    _changed: trio.Event = attrs.field(factory=trio.Event)

    async def run(self, task_status: trio.TaskStatus) -> None:
        """Pass connections on until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        async with trio.open_nursery() as nursery:
            task_status.started()
            await trio.serve_listeners(
                self._take, listeners, handler_nursery=nursery
            )

    def set_harm(self, harm: Harm) -> None:
        """Do that harm from now on, also to open connections."""
        self.harm = harm
        self._changed.set()
        self._changed = trio.Event()
        if harm in {Harm.RESET, Harm.CUT}:
            self._reset_all()

    def _reset_all(self) -> None:
        for stream in tuple(self._open):
            _reset(stream)

    async def _take(self, client: trio.SocketStream) -> None:
        if self.harm is Harm.CUT:
            _reset(client)
            return
        try:
            server = await trio.open_tcp_stream('127.0.0.1', self.server_port)
        except OSError:
            _reset(client)
            return
        self._open |= {client, server}
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pass, client, server, self._asks)
                nursery.start_soon(self._pass, server, client, self._answers)
        finally:
            self._open -= {client, server}
            _reset(client)
            _reset(server)

    def _asks(self) -> bool:
        return self.harm is not Harm.SILENT

    def _answers(self) -> bool:
        return self.harm not in {Harm.SILENT, Harm.ONE_WAY}

    async def _pass(
        self,
        source: trio.SocketStream,
        target: trio.SocketStream,
        may_pass: Callable[[], bool],
    ) -> None:
        try:
            while True:
                content = await source.receive_some(PIECE_B)
                if self.harm is Harm.DELAYED:
                    await trio.sleep(DELAY_S)
                while not may_pass():
                    await self._changed.wait()
                if not content:
                    await target.send_eof()
                    return
                await target.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            # The other direction must end as well.
            _reset(source)
            _reset(target)


def _reset(stream: trio.SocketStream) -> None:
    try:
        stream.setsockopt(
            trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER_OFF
        )
    except OSError:
        return
    stream.socket.close()
