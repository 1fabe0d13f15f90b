"""Timeline of the events of all VMs."""

import json
from collections.abc import Mapping

import attrs
import trio

from chestnutshift.conf.loader import structure
from chestnutshift.decimals import (
    INTEGER_MAX,
    UnreadableNumberError,
    read_digits,
)
from chestnutshift.events.log import Event, EventFilter, merge
from chestnutshift.exceptions import CodedError
from chestnutshift.links.handlers import Handlers
from chestnutshift.links.peer import PeerLink
from chestnutshift.operators.exceptions import BadRequestError
from chestnutshift.vms.state import VmState
from chestnutshift.wire.generated.links import ttypes

ANSWER_TIMEOUT_S = 2.0
EVENTS_PER_VM_MAX = 2000


def register(handlers: Handlers, state: VmState) -> None:
    """Register the handler that returns this VM's events to a peer."""

    @handlers.register('event_query')
    async def answer_query(_peer: str, query: object) -> ttypes.Body:
        event_filter = EventFilter(
            request=query.request or '',
            account=query.account or '',
            upstream=query.upstream or '',
            number=query.number or 0,
            since=query.since or 0,
        )
        events = state.event_log.select(event_filter)[-EVENTS_PER_VM_MAX:]
        batch = ttypes.EventBatch(events=[event.as_json() for event in events])
        return ttypes.Body(event_batch=batch)


def read_filter(arguments: Mapping[str, str]) -> EventFilter:
    """Return the event filter for the query arguments of a request."""
    numbers = {}
    for name in ('number', 'since'):
        text = arguments.get(name) or '0'
        try:
            numbers[name] = read_digits(text, INTEGER_MAX)
        except UnreadableNumberError as error:
            raise BadRequestError(f'{name}: {error.detail}') from error
    return EventFilter(
        request=arguments.get('request', ''),
        account=arguments.get('account', ''),
        upstream=arguments.get('upstream', ''),
        **numbers,
    )


async def collect_events(
    state: VmState,
    arguments: Mapping[str, str],
) -> dict[str, object]:
    """Return all VMs' events in causal order, and the VMs without answer."""
    event_filter = read_filter(arguments)
    batches = {
        state.name: state.event_log.select(event_filter)[-EVENTS_PER_VM_MAX:]
    }
    async with trio.open_nursery() as nursery:
        for link in state.links.values():
            nursery.start_soon(_query_peer, link, event_filter, batches)
    unanswered = sorted(state.links.keys() - batches.keys())
    events = merge(batches.values())
    return {
        'events': [attrs.asdict(event) for event in events],
        'not_heard': unanswered,
    }


async def _query_peer(
    link: PeerLink,
    event_filter: EventFilter,
    batches: dict[str, list[Event]],
) -> None:
    query = ttypes.EventQuery(
        request=event_filter.request,
        account=event_filter.account,
        upstream=event_filter.upstream,
        number=event_filter.number,
        since=event_filter.since,
    )
    try:
        answer = await link.call(
            ttypes.Body(event_query=query), ANSWER_TIMEOUT_S
        )
    except CodedError:
        return
    batches[link.name] = [
        structure(json.loads(line), Event, link.name)
        for line in answer.event_batch.events
    ]
