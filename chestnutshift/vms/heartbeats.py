"""Heartbeats, and the exchange of withdrawals and configurations."""

import math

import trio

from chestnutshift.configuration.codec import from_bytes, to_bytes
from chestnutshift.exceptions import CodedError
from chestnutshift.links.exceptions import LinkDownError, PeerRefusedError
from chestnutshift.links.handlers import Handlers
from chestnutshift.links.peer import PeerLink
from chestnutshift.upstreams.model import ServiceLoad
from chestnutshift.vms.membership import PeerReport
from chestnutshift.vms.state import VmState
from chestnutshift.wire.generated.links import ttypes


def to_heartbeat(state: VmState, now: float) -> ttypes.Heartbeat:
    """Return this VM's heartbeat at the time now."""
    knowledge = state.knowledge
    age_s = now - knowledge.confirmed_at
    return ttypes.Heartbeat(
        state=state.phase,
        configuration_number=state.holder.number,
        platform_reachable=state.platform_poller.reachable,
        knowledge_age_s=None if math.isinf(age_s) else age_s,
        headroom=state.local_upstreams.headroom(now),
        withdrawals_fingerprint=state.key_ring.withdrawals.fingerprint,
        knowledge_complete=knowledge.is_complete,
        lost=sorted(knowledge.lost),
        settled=sorted(knowledge.settled),
        seat_renewals=state.seat_renewals,
        loads=[
            _to_load(service, load)
            for service, load in state.local_upstreams.loads(now).items()
        ],
    )


def from_heartbeat(heartbeat: ttypes.Heartbeat) -> PeerReport:
    """Return the report in a heartbeat, with safe values for absent fields."""
    return PeerReport(
        phase=heartbeat.state or '',
        configuration_number=heartbeat.configuration_number or 0,
        platform_reachable=bool(heartbeat.platform_reachable),
        knowledge_age_s=heartbeat.knowledge_age_s,
        headroom=heartbeat.headroom or 0,
        withdrawals_fingerprint=heartbeat.withdrawals_fingerprint or 0,
        is_complete=bool(heartbeat.knowledge_complete),
        lost=frozenset(heartbeat.lost or ()),
        settled=frozenset(heartbeat.settled or ()),
        seat_renewals=heartbeat.seat_renewals or 0,
        loads={
            load.service_: _from_load(load) for load in heartbeat.loads or []
        },
    )


def _to_load(service: str, load: ServiceLoad) -> ttypes.ServiceLoad:
    return ttypes.ServiceLoad(
        service_=service,
        slots=load.slots,
        in_use=load.in_use,
        wait_s=load.wait_s,
    )


def _from_load(load: ttypes.ServiceLoad) -> ServiceLoad:
    # A VM that reports no wait gets no work that would queue there.
    wait_s = math.inf if load.wait_s is None else load.wait_s
    return ServiceLoad(load.slots or 0, load.in_use or 0, wait_s)


def register(handlers: Handlers, state: VmState) -> None:
    """Register the handlers of heartbeats and of the exchanges after them."""

    @handlers.register('heartbeat')
    async def answer_heartbeat(_peer: str, message: object) -> ttypes.Body:
        state.knowledge.mark_settled(message.settled or ())
        heartbeat = to_heartbeat(state, trio.current_time())
        return ttypes.Body(heartbeat=heartbeat)

    @handlers.register('withdrawals')
    async def answer_withdrawals(peer: str, message: object) -> ttypes.Body:
        withdrawals = state.key_ring.withdrawals
        state.handle_withdrawn_keys(
            withdrawals.add(message.digests or set()), peer
        )
        known = ttypes.Withdrawals(digests=set(withdrawals.digests))
        return ttypes.Body(withdrawals=known)

    @handlers.register('configuration_request')
    async def answer_configuration(
        _peer: str,
        _message: object,
    ) -> ttypes.Body:
        current = state.holder.current
        document = ttypes.ConfigurationDocument(
            number=current.number,
            document=to_bytes(current),
        )
        return ttypes.Body(configuration_document=document)


async def exchange_heartbeat(state: VmState, link: PeerLink) -> None:
    """Exchange one heartbeat with a VM and record its report.

    A newer configuration of the other VM is fetched, and withdrawals are
    exchanged if the two VMs know different ones.

    Raises LinkDownError if it does not answer, and PeerRefusedError if it
    answers with a refusal.
    """
    silence_s = state.settings.peers.silence_s
    requested_at = trio.current_time()
    heartbeat = to_heartbeat(state, requested_at)
    answer = await link.call(ttypes.Body(heartbeat=heartbeat), silence_s)
    if answer.heartbeat is None:
        raise LinkDownError(f'{link.name} did not answer with a heartbeat')
    report = from_heartbeat(answer.heartbeat)
    if report.configuration_number > state.holder.number:
        await fetch_configuration(state, link, silence_s)
    withdrawals = state.key_ring.withdrawals
    if report.withdrawals_fingerprint != withdrawals.fingerprint:
        await exchange_withdrawals(state, link, silence_s)
    record_peer_renewal(state, link.name, report)
    peer = state.membership.record_answer(
        link.name,
        link.incarnation,
        requested_at,
        report,
    )
    state.steering.record_loads(
        peer,
        report.loads,
        requested_at,
        trio.current_time(),
    )
    state.record_key_report(peer, requested_at, trio.current_time())


def record_peer_renewal(state: VmState, name: str, report: PeerReport) -> None:
    """Notify admission if a VM of this failure domain renewed its seat."""
    peer = state.membership.get(name)
    own_domain = state.settings.vm.failure_domain
    if peer is None or peer.address.failure_domain != own_domain:
        return
    known_renewals = peer.report.seat_renewals if peer.report else 0
    if report.seat_renewals > known_renewals:
        state.admission.record_neighbour_renewal(trio.current_time())


async def exchange_heartbeats(state: VmState) -> None:
    """Exchange one heartbeat with every other VM; ignore those that fail."""

    async def exchange_one(link: PeerLink) -> None:
        try:
            await exchange_heartbeat(state, link)
        except CodedError:
            return

    async with trio.open_nursery() as nursery:
        for link in state.links.values():
            nursery.start_soon(exchange_one, link)


async def exchange_withdrawals(
    state: VmState,
    link: PeerLink,
    timeout_s: float,
) -> None:
    """Exchange the sets of known withdrawals with another VM."""
    withdrawals = state.key_ring.withdrawals
    message = ttypes.Withdrawals(digests=set(withdrawals.digests))
    answer = await link.call(ttypes.Body(withdrawals=message), timeout_s)
    if answer.withdrawals is not None:
        added = withdrawals.add(answer.withdrawals.digests or set())
        state.handle_withdrawn_keys(added, link.name)


async def fetch_configuration(
    state: VmState,
    link: PeerLink,
    timeout_s: float,
) -> None:
    """Fetch and adopt the configuration of another VM if it is newer."""
    request = ttypes.ConfigurationRequest(newer_than=state.holder.number)
    try:
        answer = await link.call(
            ttypes.Body(configuration_request=request),
            timeout_s,
        )
    except PeerRefusedError:
        return
    if answer.configuration_document is not None:
        state.holder.offer(from_bytes(answer.configuration_document.document))
