"""Messages by which VMs lend rates and slots to each other."""

import trio

from chestnutshift.accounts.loans import LoanRequest, Peer
from chestnutshift.exceptions import CodedError
from chestnutshift.links.handlers import Handlers
from chestnutshift.links.peer import PeerLink
from chestnutshift.upstreams.loans import Outgoing
from chestnutshift.vms.state import VmState
from chestnutshift.wire import mapping
from chestnutshift.wire.generated.links import ttypes

PLAN_PERIOD_S = 0.05
ANSWER_TIMEOUT_S = 1.0


def register(handlers: Handlers, state: VmState) -> None:
    """Register the handlers of loan messages."""

    @handlers.register('rate_requests')
    async def lend_rates(peer: str, message: object) -> ttypes.Body:
        now = trio.current_time()
        grants = [
            state.admission.handle_request(peer, request, now)
            for request in mapping.from_struct(message.requests or [])
        ]
        structs = [mapping.to_struct(grant) for grant in grants if grant]
        return ttypes.Body(rate_grants=ttypes.RateGrants(grants=structs))

    async def handle_slot_message(_peer: str, message: object) -> ttypes.Body:
        answers: list[Outgoing] = []
        if state.local_upstreams.slot_lending is not None:
            answers = state.local_upstreams.slot_lending.handle_message(
                mapping.from_struct(message),
                trio.current_time(),
            )
        if answers:
            return mapping.to_body(answers[0].message)
        return ttypes.Body(nothing=ttypes.Nothing())

    for field in mapping.BODY_FIELDS.values():
        handlers.register(field)(handle_slot_message)


async def run_borrowing(state: VmState) -> None:
    """Request the loans that this VM needs, every PLAN_PERIOD_S; forever."""
    async with trio.open_nursery() as nursery:
        while True:
            now = trio.current_time()
            live_peers = state.membership.live_peers(now)
            region = state.settings.vm.region
            state.admission.update_peers(
                tuple(
                    Peer(peer.name, near=peer.address.region == region)
                    for peer in live_peers
                ),
            )
            for name, requests in _rate_requests_by_peer(state, now).items():
                link = state.links[name]
                nursery.start_soon(_request_rates, state, link, requests)
            for outgoing in _plan_slot_messages(state, now):
                link = state.links.get(outgoing.recipient)
                if link is not None:
                    nursery.start_soon(
                        _exchange_slot_message, state, link, outgoing
                    )
            await trio.sleep(PLAN_PERIOD_S)


def _rate_requests_by_peer(
    state: VmState, now: float
) -> dict[str, list[LoanRequest]]:
    grouped: dict[str, list[LoanRequest]] = {}
    for request in state.admission.plan(now):
        grouped.setdefault(request.peer, []).append(request)
    return grouped


def _plan_slot_messages(state: VmState, now: float) -> list[Outgoing]:
    upstreams = state.local_upstreams
    if upstreams.slot_lending is None:
        return []
    live_names = {peer.name for peer in state.membership.live_peers(now)}
    peers = [name for name in upstreams.domain_vms if name in live_names]
    waiting = upstreams.dispatcher.queue_lengths
    upstreams.dispatcher.tick(now)
    return upstreams.slot_lending.plan(now, waiting, peers)


async def _request_rates(
    state: VmState,
    link: PeerLink,
    requests: list[LoanRequest],
) -> None:
    structs = [mapping.to_struct(request) for request in requests]
    body = ttypes.Body(rate_requests=ttypes.RateRequests(requests=structs))
    try:
        answer = await link.call(body, ANSWER_TIMEOUT_S)
    except CodedError:
        return
    now = trio.current_time()
    grants = answer.rate_grants.grants if answer.rate_grants else []
    for grant in mapping.from_struct(grants):
        state.admission.handle_grant(link.name, grant, now)


async def _exchange_slot_message(
    state: VmState,
    link: PeerLink,
    outgoing: Outgoing,
) -> None:
    try:
        answer = await link.call(
            mapping.to_body(outgoing.message), ANSWER_TIMEOUT_S
        )
        message = mapping.from_body(answer)
    except CodedError:
        return
    if message is not None and state.local_upstreams.slot_lending is not None:
        now = trio.current_time()
        state.local_upstreams.slot_lending.handle_message(message, now)
        state.local_upstreams.dispatcher.tick(now)
