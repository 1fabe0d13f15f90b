"""The listening side of links from other VMs."""

import ssl

import trio

from chestnutshift.events.log import EventLog
from chestnutshift.links import events, handshake
from chestnutshift.links.exceptions import HandshakeError
from chestnutshift.links.handlers import Handlers
from chestnutshift.wire.codec import FrameError, FrameReader, encode
from chestnutshift.wire.generated.links import ttypes

HANDSHAKE_TIMEOUT_S = 3.0


class LinkServer:
    """Accepts links from other VMs and answers their messages."""

    def __init__(
        self,
        vm: str,
        incarnation: str,
        secret: bytes,
        handlers: Handlers,
        event_log: EventLog,
    ) -> None:
        """Create a server for a VM; peers must know the secret."""
        self._vm = vm
        self._incarnation = incarnation
        self._secret = secret
        self._handlers = handlers
        self._event_log = event_log

    async def serve(
        self,
        address: str,
        port: int,
        silence_s: float,
        tls: ssl.SSLContext | None = None,
        task_status: trio.TaskStatus[object] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled, each in a task of its own.

        A link on which nothing arrives for silence_s is closed.
        """

        async def serve_connection(stream: trio.abc.Stream) -> None:
            async with stream:
                await self._serve_link(stream, silence_s)

        listeners: list = await trio.open_tcp_listeners(port, host=address)
        if tls is not None:
            listeners = [
                trio.SSLListener(listener, tls) for listener in listeners
            ]
        await trio.serve_listeners(
            serve_connection,
            listeners,
            task_status=task_status,
        )

    async def _serve_link(
        self,
        stream: trio.abc.Stream,
        silence_s: float,
    ) -> None:
        reader = FrameReader(stream)
        try:
            with trio.fail_after(HANDSHAKE_TIMEOUT_S):
                peer = await self._accept_handshake(stream, reader)
        except (HandshakeError, FrameError, trio.TooSlowError) as error:
            self._event_log.emit(events.HANDSHAKE_FAILED, reason=str(error))
            return
        except trio.BrokenResourceError:
            return
        try:
            await self._answer_messages(stream, reader, peer, silence_s)
        except (FrameError, trio.TooSlowError, trio.BrokenResourceError):
            # The dialling side logs the broken link and reconnects.
            return

    async def _accept_handshake(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
    ) -> str:
        nonce = handshake.new_nonce()
        challenge = ttypes.Challenge(nonce=nonce)
        await self._send(stream, 0, ttypes.Body(challenge=challenge))
        body = (await reader.read()).body
        hello = body.hello if body else None
        if hello is None or not hello.vm:
            raise HandshakeError('the first message is not a hello')
        handshake.verify(
            self._secret,
            hello.proof,
            'dialler',
            nonce,
            hello.nonce,
            hello.vm,
            hello.incarnation,
        )
        proof = handshake.prove(
            self._secret,
            'listener',
            hello.nonce,
            self._vm,
            self._incarnation,
        )
        welcome = ttypes.Welcome(
            vm=self._vm,
            incarnation=self._incarnation,
            proof=proof,
        )
        await self._send(stream, 0, ttypes.Body(welcome=welcome))
        return hello.vm

    async def _answer_messages(
        self,
        stream: trio.abc.Stream,
        reader: FrameReader,
        peer: str,
        silence_s: float,
    ) -> None:
        while True:
            with trio.fail_after(silence_s):
                frame = await reader.read()
            body = await self._handlers.answer(peer, frame.body)
            with trio.fail_after(silence_s):
                await self._send(stream, frame.sequence or 0, body)

    async def _send(
        self,
        stream: trio.abc.Stream,
        answers: int,
        body: ttypes.Body,
    ) -> None:
        frame = ttypes.Frame(answers=answers, body=body)
        await stream.send_all(encode(frame))
