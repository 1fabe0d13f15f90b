"""Heartbeats and other messages between the VMs of the fleet."""

import math
from collections.abc import Callable, Iterable
from contextlib import closing

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.containment import (
    contained,
    is_system_error,
    keep_running,
)
from chestnutshift.edge.datagram_port import Address, DatagramPort
from chestnutshift.edge.peer_updates import apply_heartbeats
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.datagrams import Message, decode, encode
from chestnutshift.fleet.exceptions import BrokenDatagramError
from chestnutshift.fleet.heartbeats import Heartbeat, hash_name
from chestnutshift.fleet.share_holders import named_silent
from chestnutshift.fleet.view import (
    HEARTBEAT_INTERVAL_MIN_S,
    HEARTBEAT_RATE_MAX,
    FleetView,
    Peer,
)
from chestnutshift.steering.reached import reached_ratio

# Heartbeats sent before other tasks run.
SENDS_PER_CHECKPOINT = 16
# A heartbeat is not put off for this little, in seconds.
TIMER_SLACK_S = 0.01
# Pause after an error of the port, which may last.
RECEIVE_RETRY_S = 0.02
# Weight of a new sample in the moving average of a timer's delay.
DELAY_WEIGHT = 0.3

# Handles a peer's message, given the current boot time; returns a reply or
# None.
Handler = Callable[[Message, float], Message | None]


@attrs.define
class PeerMessenger:
    """Sends and receives messages between VMs, one datagram each.

    handlers maps the types of messages other than heartbeats to their
    handlers.
    """

    _state: EdgeState
    handlers: dict[type, Handler] = attrs.field(factory=dict)
    _number: int = 0
    _live: set[str] = attrs.field(factory=set)
    _is_busy: bool = False
    # When all peers are due for a heartbeat.
    _all_due_at: float = -math.inf
    _port: DatagramPort | None = None
    # A port that run has not taken yet.
    _opened: DatagramPort | None = None

    async def open(self) -> None:
        """Open the port for datagrams; raises OSError."""
        settings = self._state.settings
        self._opened = DatagramPort(settings.address, settings.peer_port)

    async def run(self) -> None:
        """Send heartbeats and receive messages until cancelled."""
        if self._opened is None:
            await self.open()
        self._port = self._opened
        self._opened = None
        with closing(self._port):
            async with trio.open_nursery() as nursery:
                tasks = {'listen': self._listen, 'heartbeats': self._send_on}
                for name, run in tasks.items():
                    nursery.start_soon(keep_running, self._state, name, run)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat to all peers once an interval, else to busy ones.

        VMs that serve callers tell each other their load more often than the
        whole fleet.
        """
        now = boot_time()
        state, fleet = self._state, self._state.fleet
        apply_heartbeats(state, now)
        self._log_peer_changes(now)
        peers: Iterable[Peer] = fleet
        if now < self._all_due_at:
            peers = _busy_peers(fleet, now)
        else:
            # All shares of accounts go by the demand that every peer was told.
            state.shares.report_demand(now)
            self._all_due_at = now + fleet.heartbeat_interval_s - TIMER_SLACK_S
        heartbeat = self.next_heartbeat(now)
        self._is_busy = heartbeat.is_busy
        for index, peer in enumerate(peers):
            with contained(state, 'heartbeat', peer=peer.member.vm):
                self._send_heartbeat(heartbeat, peer)
            if index % SENDS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()

    def next_heartbeat(self, now: float) -> Heartbeat:
        """Return the heartbeat to send now, under the next number."""
        self._number += 1
        state = self._state
        age_s = state.freshness.age_s(now)
        is_proven = math.isfinite(age_s) and state.trust.accepts_keys(now)
        services = state.table.services if state.table else ()
        return Heartbeat(
            vm=state.settings.vm,
            incarnation=state.incarnation,
            number=self._number,
            sent_at=now,
            phase=state.phase,
            table_version=state.table_version,
            proof_age_s=age_s if is_proven else None,
            demand=state.shares.reported_demand,
            in_flight=state.upstream_reports.in_flight(),
            operators_changed_at=state.operators_changes.changed_at,
            upstreams_changed_at=state.upstreams_changes.changed_at,
            delay_s=state.delay_s,
            cold_for_s=state.upstream_reports.cold_for_s(services, now),
            rate_limits=state.upstream_reports.rate_limits(now),
            suspects=state.crashes.reports(now),
            leaving=state.upstream_reports.leaving(),
            unreached=_unreached(state),
            answered_age_s=_age_s(state.directory.reach.answered_at, now),
            silent=named_silent(state.fleet, now),
        )

    def send(self, message: Message, peer: Peer) -> None:
        """Send one message; delivery is not guaranteed."""
        endpoint = peer.member.endpoint
        self._send(message, (endpoint.address, endpoint.port))

    def _send_heartbeat(self, heartbeat: Heartbeat, peer: Peer) -> None:
        peer_sent_at = peer.heartbeat.sent_at if peer.heartbeat else None
        self.send(attrs.evolve(heartbeat, echoed_at=peer_sent_at), peer)

    async def _send_on(self) -> None:
        while True:
            await self.send_heartbeats()
            await self._pause(self._interval_s(boot_time()))

    def _interval_s(self, now: float) -> float:
        fleet = self._state.fleet
        if not self._is_busy:
            return fleet.heartbeat_interval_s
        busy_s = len(_busy_peers(fleet, now)) / HEARTBEAT_RATE_MAX
        busy_s = max(HEARTBEAT_INTERVAL_MIN_S, busy_s)
        return min(fleet.heartbeat_interval_s, busy_s)

    async def _pause(self, pause_s: float) -> None:
        """Sleep, and record how late the timer fires."""
        due_at = trio.current_time() + pause_s
        await trio.sleep_until(due_at)
        delay_s = trio.current_time() - due_at
        self._state.delay_s += DELAY_WEIGHT * (delay_s - self._state.delay_s)

    def _send(self, message: Message, address: Address) -> None:
        if self._port is None:
            return
        try:
            self._port.send(encode(message), address)
        except OSError as error:
            # Heartbeats are never resent; the peer's silence is detected and
            # logged.
            self._state.event_log.emit(
                events.DATAGRAM_UNSENT,
                address=address[0],
                detail=str(error),
            )

    async def _listen(self) -> None:
        while True:
            try:
                received = await self._port.receive()
            except OSError as error:
                if not is_system_error(error):
                    raise
                self._state.event_log.emit(
                    events.DATAGRAM_UNSENT, detail=str(error)
                )
                await trio.sleep(RECEIVE_RETRY_S)
                continue
            for datagram, address in received:
                with contained(self._state, 'datagram', address=address[0]):
                    self._answer_datagram(datagram, address)

    def _answer_datagram(self, datagram: bytes, address: Address) -> None:
        reply = self._handle_datagram(datagram, address[0])
        if reply is not None:
            self._send(reply, address)

    def _handle_datagram(self, datagram: bytes, address: str) -> Message | None:
        """Process a datagram and return the reply, if any."""
        try:
            message = decode(datagram)
        except BrokenDatagramError as error:
            self._state.event_log.emit(
                events.DATAGRAM_MALFORMED,
                address=address,
                detail=error.detail,
            )
            return None
        now = boot_time()
        if isinstance(message, Heartbeat):
            self._state.record_heartbeat(message, now)
            return None
        handler = self.handlers.get(type(message))
        return None if handler is None else handler(message, now)

    def _log_peer_changes(self, now: float) -> None:
        live = {peer.member.vm for peer in self._state.fleet.live_peers(now)}
        for vm in live - self._live:
            self._state.event_log.emit(events.PEER_REGAINED, peer=vm)
        for vm in self._live - live:
            self._state.event_log.emit(
                events.PEER_LOST,
                peer=vm,
                silent_s=_silent_s(self._state.fleet.find(vm), now),
            )
        self._live = live


def _silent_s(peer: Peer | None, now: float) -> float:
    return 0 if peer is None else round(now - peer.last_heartbeat_at, 3)


def _busy_peers(fleet: FleetView, now: float) -> list[Peer]:
    """Return the live peers that serve callers or decide on accounts."""
    return [
        peer
        for peer in fleet.live_peers(now)
        if peer.heartbeat and peer.heartbeat.is_busy
    ]


def _age_s(at: float, now: float) -> float | None:
    return now - at if math.isfinite(at) else None


def _unreached(state: EdgeState) -> frozenset[int]:
    """Return the services of which this VM reaches no upstream, hashed."""
    services = state.table.services if state.table else ()
    return frozenset(
        hash_name(name)
        for name in services
        if state.directory.reach.is_cut_off
        or not reached_ratio(state.directory, name)
    )
