"""Pass requests on to peers that reach the upstreams of a service."""

import random
import secrets
from collections import Counter
from collections.abc import Collection

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.attempts import (
    OPTIONS,
    AnswerCollector,
    AttemptEnd,
    EndKind,
    StreamCutError,
    attempt,
    discard_body,
)
from chestnutshift.edge.crossings import Progress, line_of, prove_key
from chestnutshift.edge.dialect import Dialect
from chestnutshift.edge.pending_requests import PendingRequest
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.heartbeats import hash_name
from chestnutshift.fleet.members import Member
from chestnutshift.fleet.view import Peer
from chestnutshift.forwarding.crossing import (
    REFUSAL_HEADER,
    Crossing,
    crossing_headers,
)
from chestnutshift.forwarding.heads import find_header
from chestnutshift.forwarding.problems import ACCOUNT_HEADER, RAN_HEADER, Ran
from chestnutshift.memory.budget import MemoryBudget
from chestnutshift.upstreams.connection import OutboundRequest, UpstreamAnswer
from chestnutshift.upstreams.connections import UpstreamConnections

# Peers that one request is passed on to, one after the other.
PEERS_MAX = 3
# Connections to one peer, one for each request at a time.
CONNECTIONS_MAX = 128
# A peer whose timers are later than this, in seconds, has no processor time to
# spare; one that is farther away but less busy takes the request.
OVERLOAD_DELAY_S = 0.05
NONCE_B = 12
SAME_DOMAIN, SAME_REGION, OTHER_REGION = range(3)


@attrs.define
class PeerAnswerCollector(AnswerCollector):
    """Collects an upstream's answer that a peer passes back, or its refusal."""

    async def collect(self, answer: UpstreamAnswer) -> None:
        """Read the whole answer; raises ExchangeBrokenError."""
        ran = find_header(answer.headers, RAN_HEADER)
        if ran is None:
            await super().collect(answer)
            return
        code = find_header(answer.headers, REFUSAL_HEADER) or b''
        facts = self._dialect.read_answer(answer.headers)
        is_not_run = ran == Ran.NOT_RUN.value.encode()
        await discard_body(answer)
        self.end = AttemptEnd(
            EndKind.NOT_RUN if is_not_run else EndKind.BROKEN,
            f'the peer refused: {code.decode("latin-1")}',
            facts=facts,
            code=code.decode('latin-1'),
        )


class PeerPool:
    """The connections to the peers, by registration."""

    def __init__(self, memory: MemoryBudget) -> None:
        """Start without connections."""
        self._options = attrs.evolve(OPTIONS, find_read_b=memory.answer_read_b)
        self._connections: dict[Member, UpstreamConnections] = {}

    def connections(self, member: Member) -> UpstreamConnections:
        """Return the connections to one incarnation of a VM."""
        pool = self._connections.get(member)
        if pool is None:
            pool = UpstreamConnections(
                member.crossings.address,
                member.crossings.port,
                pace_s=0,
                maximum=CONNECTIONS_MAX,
                options=self._options,
            )
            self._connections[member] = pool
        return pool

    async def close_unlisted(self, listed: Collection[Member]) -> None:
        """Close the idle connections to VMs that are not in listed."""
        for member in self._connections.keys() - set(listed):
            await self._connections.pop(member).aclose()


@attrs.define
class PeerForwarder:
    """Chooses the peer that a request is passed on to, and sends it there."""

    _state: EdgeState
    _dialect: Dialect
    _pool: PeerPool
    _rng: random.Random = attrs.field(factory=random.Random)
    # Requests in flight that were passed on, by VM.
    _in_flight: Counter[str] = attrs.field(factory=Counter)

    def choose(
        self, pending: PendingRequest, now: float, *, is_newer: bool = False
    ) -> Peer | None:
        """Return a peer that can send the request, None if there is none.

        With is_newer, it has a newer route table than this VM. The nearest
        come first, and of two of these the less busy. A request crosses between
        VMs once only. One with home regions goes to VMs there, as these get its
        body.
        """
        admitted = pending.admitted
        if admitted.progress is not None or admitted.has_no_home:
            return None
        if len(pending.peers_tried) >= PEERS_MAX:
            return None
        able = self._able(pending, now)
        if is_newer:
            able = self._newer(able)
        if not able:
            return None
        nearest = min(map(self._distance, able))
        near = [peer for peer in able if self._distance(peer) == nearest]
        drawn = self._rng.sample(near, min(2, len(near)))
        return min(drawn, key=self._load)

    async def send(self, pending: PendingRequest, peer: Peer) -> AttemptEnd:
        """Pass the request on and return the result.

        Raises MemoryFullError if the request has given way, and StreamCutError
        if the answer breaks off after a part of it was passed on.
        """
        pending.memory.keep()
        vm = peer.member.vm
        pending.peers_tried.add(vm)
        pending.writer.upstream = vm
        started_at = boot_time()
        self._log_sent(pending, vm, started_at)
        ran_before = pending.ran
        pending.ran = Ran.UNKNOWN
        self._in_flight[vm] += 1
        try:
            end = await attempt(
                self._pool.connections(peer.member),
                self._outbound(pending, peer.member, started_at),
                pending.body,
                self._collector(pending),
                is_idempotent=pending.admitted.route.is_idempotent,
                used=pending.used_connections,
            )
        finally:
            self._in_flight[vm] -= 1
        pending.writer.upstream = ''
        if end.kind in {EndKind.NOT_SENT, EndKind.NOT_RUN}:
            pending.ran = ran_before
        else:
            pending.sent_count += 1
        self._record(pending, vm, end, boot_time() - started_at)
        if end.kind is EndKind.CUT:
            raise StreamCutError(end.detail)
        return attrs.evolve(end, peer=vm)

    def _able(self, pending: PendingRequest, now: float) -> list[Peer]:
        """Return the peers that reach the service.

        Those that know the route table and have processor time to spare leave
        out the others; a peer may know more than its last heartbeat told.
        """
        admitted = pending.admitted
        able = [
            peer
            for peer in self._state.fleet.serving(now)
            if peer.member.vm not in pending.peers_tried
            and _may_take(peer.member, admitted)
            and hash_name(admitted.service) not in peer.heartbeat.unreached
        ]
        current = [
            peer
            for peer in able
            if peer.heartbeat.table_version >= admitted.table_version
        ]
        able = current or able
        idle = [
            peer for peer in able if peer.heartbeat.delay_s <= OVERLOAD_DELAY_S
        ]
        return idle or able

    def _newer(self, peers: Collection[Peer]) -> list[Peer]:
        """Return those with a newer route table, none if they are few.

        A few could not bear the requests of all others.
        """
        version = self._state.table_version
        newer = [
            peer for peer in peers if peer.heartbeat.table_version > version
        ]
        return newer if 2 * len(newer) >= len(peers) else []

    def _distance(self, peer: Peer) -> int:
        settings = self._state.settings
        if peer.member.failure_domain == settings.failure_domain:
            return SAME_DOMAIN
        if peer.member.region == settings.region:
            return SAME_REGION
        return OTHER_REGION

    def _load(self, peer: Peer) -> int:
        at_upstreams = sum(peer.heartbeat.in_flight.values())
        return at_upstreams + self._in_flight[peer.member.vm]

    def _outbound(
        self, pending: PendingRequest, member: Member, now: float
    ) -> OutboundRequest:
        admitted = pending.admitted
        request = admitted.request
        key = request.key if admitted.account else None
        progress = Progress(
            admitted.service,
            admitted.table_version,
            prove_key(key, member.token) if key else '',
            pending.sent_count,
            [upstream.name for upstream in pending.avoided],
        )
        settings = self._state.settings
        crossing = Crossing(
            settings.vm,
            settings.region,
            secrets.token_hex(NONCE_B),
            admitted.account_name,
            progress.text(),
        )
        headers = crossing_headers(
            crossing,
            line_of(request),
            member.token.encode(),
            f'{member.incarnation}',
        )
        headers.append((ACCOUNT_HEADER, admitted.account_name.encode()))
        return self._dialect.write_crossing(
            request,
            headers,
            pending.deadline - now,
            pending.body_b,
        )

    def _collector(self, pending: PendingRequest) -> PeerAnswerCollector:
        return PeerAnswerCollector(
            self._dialect,
            pending.admitted.request,
            pending.writer.start,
            pending.writer.write_part,
            pending.writer.has_begun,
            _ignore_head,
            pending.memory,
            pending.is_followed,
            pending.writer.wait_for_turn,
        )

    def _log_sent(self, pending: PendingRequest, vm: str, now: float) -> None:
        self._state.event_log.emit(
            events.REQUEST_PASSED_ON,
            request=pending.admitted.request.request_id,
            peer=vm,
            service=pending.admitted.service,
            reach=self._state.directory.reach.reach(now).value,
            sent_count=pending.sent_count,
            waited_s=round(now - pending.started_at, 3),
        )

    def _record(
        self,
        pending: PendingRequest,
        vm: str,
        end: AttemptEnd,
        took_s: float,
    ) -> None:
        self._state.metrics.crossings.passed_on.labels(end.kind.value).inc()
        if end.kind is EndKind.ANSWERED:
            return
        self._state.event_log.emit(
            events.REQUEST_PASS_FAILED,
            request=pending.admitted.request.request_id,
            peer=vm,
            outcome=end.kind.value,
            detail=end.detail,
            after_s=round(took_s, 3),
        )


def _may_take(member: Member, admitted: Admitted) -> bool:
    """Return whether the VM takes over requests, and this one by its home."""
    if not member.token or member.crossings is None:
        return False
    return not admitted.homes or member.region in admitted.homes


def _ignore_head(_status: int, _facts: object) -> None:
    """Record nothing: what an answer asks of its sender concerns the peer."""
