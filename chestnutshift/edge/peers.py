"""Tell the peers what they need, and hear what they tell."""

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.beats import Beat, decode_beat, encode_beat
from chestnutshift.fleet.exceptions import BrokenBeatError
from chestnutshift.fleet.view import Peer

DATAGRAM_B = 65_535


@attrs.define
class PeerTalk:
    """Exchange beats with the peers, one datagram each."""

    _state: EdgeState
    _number: int = 0
    _heard: set[str] = attrs.field(factory=set)
    _socket: trio.socket.SocketType | None = None

    async def run(self) -> None:
        """Beat until cancelled."""
        settings = self._state.settings
        self._socket = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        with self._socket:
            await self._socket.bind((settings.address, settings.peer_port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._listen)
                while True:
                    await self.tell()
                    await trio.sleep(self._state.fleet.beat_s)

    async def tell(self) -> None:
        """Send each listed peer a beat."""
        now = boot_time()
        self._state.refresh(now)
        self._note_heard(now)
        self._number += 1
        beat = self._make_beat(now)
        for peer in self._state.fleet:
            heard = peer.beat.sent_at if peer.beat else None
            datagram = encode_beat(attrs.evolve(beat, echoed_at=heard))
            endpoint = peer.member.endpoint
            await self._send(datagram, (endpoint.address, endpoint.port))

    def _make_beat(self, now: float) -> Beat:
        state = self._state
        age_s = state.freshness.age_s(now)
        return Beat(
            vm=state.settings.vm,
            incarnation=state.incarnation,
            number=self._number,
            sent_at=now,
            phase=state.phase,
            table_version=state.table.version if state.table else 0,
            proof_age_s=age_s if state.is_trusted(now) else None,
            demand=state.shares.tell_demand(now),
            in_flight=state.in_flight(),
        )

    async def _send(self, datagram: bytes, address: tuple[str, int]) -> None:
        try:
            await self._socket.sendto(datagram, address)
        except OSError as error:
            # The peer's silence is noticed and logged; a beat is never resent.
            self._state.event_log.emit(
                events.BEAT_UNSENT,
                address=address[0],
                detail=str(error),
            )

    async def _listen(self) -> None:
        while True:
            try:
                datagram, address = await self._socket.recvfrom(DATAGRAM_B)
            except OSError as error:
                # A refusal that an earlier datagram met.
                self._state.event_log.emit(
                    events.BEAT_UNSENT, detail=str(error)
                )
                continue
            self._hear(datagram, address[0])

    def _hear(self, datagram: bytes, address: str) -> None:
        try:
            beat = decode_beat(datagram)
        except BrokenBeatError as error:
            self._state.event_log.emit(
                events.BEAT_BROKEN,
                address=address,
                detail=error.detail,
            )
            return
        self._state.fleet.hear(beat, boot_time())

    def _note_heard(self, now: float) -> None:
        heard = {peer.member.vm for peer in self._state.fleet.heard(now)}
        for vm in heard - self._heard:
            self._state.event_log.emit(events.PEER_REGAINED, peer=vm)
        for vm in self._heard - heard:
            self._state.event_log.emit(
                events.PEER_LOST,
                peer=vm,
                silent_s=_silent_s(self._state.fleet.find(vm), now),
            )
        self._heard = heard


def _silent_s(peer: Peer | None, now: float) -> float:
    return 0 if peer is None else round(now - peer.heard_at, 3)
