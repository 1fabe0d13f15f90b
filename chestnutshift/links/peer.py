"""The dialling side of a link to one other VM."""

import itertools
import ssl
from collections.abc import Awaitable, Callable

import attrs
import trio

from chestnutshift.conf.settings import PeerAddress
from chestnutshift.events.log import EventLog
from chestnutshift.links import events, handshake
from chestnutshift.links.exceptions import (
    HandshakeError,
    LinkDownError,
    PeerRefusedError,
)
from chestnutshift.wire.codec import FrameError, FrameReader, encode
from chestnutshift.wire.generated.links import ttypes

CONNECT_TIMEOUT_S = 2.0
RECONNECT_DELAY_S = 0.25

_CONNECTION_ERRORS = (
    FrameError,
    HandshakeError,
    LinkDownError,
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.TooSlowError,
)


@attrs.frozen
class Identity:
    """This VM's identity in the handshake, and the shared secret."""

    vm: str
    incarnation: str
    secret: bytes


@attrs.define
class _PendingCall:
    """One message that waits for its answer.

    body stays None if the link breaks first.
    """

    done: trio.Event = attrs.field(factory=trio.Event)
    body: ttypes.Body | None = None


class PeerLink:
    """A link on which this VM sends messages and receives the answers."""

    def __init__(
        self,
        address: PeerAddress,
        identity: Identity,
        event_log: EventLog,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Create a link without a connection; `run` establishes it."""
        self._address = address
        self._identity = identity
        self._event_log = event_log
        self._tls = tls
        self._stream: trio.abc.Stream | None = None
        self._send_lock = trio.Lock()
        self._sequence = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._incarnation = ''
        self._was_up = False

    @property
    def name(self) -> str:
        """The other VM's name."""
        return self._address.name

    @property
    def incarnation(self) -> str:
        """The other VM's incarnation in the latest handshake."""
        return self._incarnation

    @property
    def is_up(self) -> bool:
        """Whether a connection is established."""
        return self._stream is not None

    async def call(self, body: ttypes.Body, timeout_s: float) -> ttypes.Body:
        """Send a message and return its answer.

        Raises LinkDownError without an answer within timeout_s, and
        PeerRefusedError when the answer is a refusal.
        """
        stream = self._stream
        if stream is None:
            raise LinkDownError(f'not connected to {self.name}')
        sequence = next(self._sequence)
        pending = _PendingCall()
        self._pending[sequence] = pending
        try:
            with trio.fail_after(timeout_s):
                await self._send(stream, sequence, body)
                await pending.done.wait()
        except (trio.TooSlowError, trio.BrokenResourceError) as error:
            raise LinkDownError(f'no answer from {self.name}') from error
        except trio.ClosedResourceError as error:
            raise LinkDownError(f'not connected to {self.name}') from error
        finally:
            self._pending.pop(sequence, None)
        return self._check_answer(pending.body)

    async def run(
        self,
        heartbeat_s: float,
        silence_s: float,
        exchange_heartbeat: Callable[['PeerLink'], Awaitable[None]],
    ) -> None:
        """Connect, exchange heartbeats and reconnect after errors; forever.

        heartbeat_s is the pause between heartbeats. A connection on which
        nothing arrives for silence_s is closed.
        """
        while True:
            try:
                await self._run_connection(
                    heartbeat_s, silence_s, exchange_heartbeat
                )
            except* _CONNECTION_ERRORS:
                if self._was_up:
                    self._event_log.emit(events.LINK_DOWN, peer=self.name)
                self._was_up = False
                await trio.sleep(RECONNECT_DELAY_S)

    async def _run_connection(
        self,
        heartbeat_s: float,
        silence_s: float,
        exchange_heartbeat: Callable[['PeerLink'], Awaitable[None]],
    ) -> None:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await self._connect()
        async with stream:
            reader = FrameReader(stream)
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await self._handshake(stream, reader)
            self._stream = stream
            self._was_up = True
            self._event_log.emit(events.LINK_UP, peer=self.name)
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read_answers, reader, silence_s)
                    nursery.start_soon(
                        self._run_heartbeats, heartbeat_s, exchange_heartbeat
                    )
            finally:
                self._stream = None
                self._fail_pending()

    async def _connect(self) -> trio.abc.Stream:
        stream = await trio.open_tcp_stream(
            self._address.address,
            self._address.port,
        )
        if self._tls is None:
            return stream
        return trio.SSLStream(stream, self._tls, self._address.address)

    async def _handshake(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
    ) -> None:
        secret = self._identity.secret
        challenge = getattr((await reader.read()).body, 'challenge', None)
        if challenge is None:
            raise HandshakeError('the first message is not a challenge')
        nonce = handshake.new_nonce()
        proof = handshake.prove(
            secret,
            'dialler',
            challenge.nonce,
            nonce,
            self._identity.vm,
            self._identity.incarnation,
        )
        hello = ttypes.Hello(
            vm=self._identity.vm,
            incarnation=self._identity.incarnation,
            nonce=nonce,
            proof=proof,
        )
        await self._send(stream, 0, ttypes.Body(hello=hello))
        welcome = getattr((await reader.read()).body, 'welcome', None)
        if welcome is None or welcome.vm != self.name:
            raise HandshakeError(
                f'the answer is not a welcome from {self.name}'
            )
        handshake.verify(
            secret,
            welcome.proof,
            'listener',
            nonce,
            welcome.vm,
            welcome.incarnation,
        )
        self._incarnation = welcome.incarnation

    async def _read_answers(
        self,
        reader: FrameReader,
        silence_s: float,
    ) -> None:
        while True:
            with trio.fail_after(silence_s):
                frame = await reader.read()
            pending = self._pending.pop(frame.answers or 0, None)
            if pending is not None:
                pending.body = frame.body
                pending.done.set()

    async def _run_heartbeats(
        self,
        heartbeat_s: float,
        exchange_heartbeat: Callable[['PeerLink'], Awaitable[None]],
    ) -> None:
        while True:
            await exchange_heartbeat(self)
            await trio.sleep(heartbeat_s)

    async def _send(
        self,
        stream: trio.abc.Stream,
        sequence: int,
        body: ttypes.Body,
    ) -> None:
        frame = ttypes.Frame(sequence=sequence, body=body)
        async with self._send_lock:
            await stream.send_all(encode(frame))

    def _fail_pending(self) -> None:
        for pending in self._pending.values():
            pending.done.set()
        self._pending.clear()

    def _check_answer(self, body: ttypes.Body | None) -> ttypes.Body:
        if body is None:
            raise LinkDownError(f'the link to {self.name} broke')
        if body.refusal is not None:
            raise PeerRefusedError(
                f'{body.refusal.code}: {body.refusal.detail}'
            )
        return body
