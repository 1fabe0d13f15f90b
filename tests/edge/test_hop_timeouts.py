"""Whose timeout ends a request that a VM passes on to a peer."""

import attrs
import httpx
import trio

from chestnutshift.edge.state import EdgeState
from tests.edge.linked_fleet import (
    READ,
    SERVED,
    WRITE,
    LinkedFleet,
    running_fleet,
)
from tests.edge.stand_ins import SLOW_S
from tests.virtual_time import in_virtual_time

# Shorter than the work of an upstream, unlike the timeout of the sample routes.
SHORT_S = SLOW_S / 2
# How much later than its timeout a request may be refused.
LATE_S = 0.1
# From then on a VM knows that no newer route table was lost before its start.
TRUSTED_AFTER_S = 6.0
REQUESTS = ((READ, b''), (WRITE, b'x'))


def _shorten(state: EdgeState) -> None:
    """Put a newer route table with shorter timeouts in force at one VM."""
    table = state.table
    routes = tuple(
        attrs.evolve(route, timeout_s=SHORT_S) for route in table.routes
    )
    version = table.version + 1
    assert state.adopt(attrs.evolve(table, version=version, routes=routes))


async def _ask(fleet: LinkedFleet, path: str, body: bytes) -> tuple[str, float]:
    """Return what the first VM answers, and how long that took.

    'whole' is an answer with its whole body, 'reset' none at all.
    """
    sent_at = trio.current_time()
    try:
        answer = await fleet.ask(fleet.vms[0], path, body)
    except httpx.TransportError:
        return 'reset', trio.current_time() - sent_at
    text = 'whole' if answer.status_code == SERVED else answer.text
    return text, trio.current_time() - sent_at


# LOST: a peer that had a newer route table ended requests by a timeout that
# the VM of the caller did not know; it reset answers that had begun.
@in_virtual_time
async def test_peer_keeps_the_callers_timeout() -> None:
    """The peer's shorter timeout does not end what was sent before it."""
    answers = {}
    async with running_fleet(vm_count=2) as fleet:
        await trio.sleep(TRUSTED_AFTER_S)
        await fleet.cut_off(fleet.vms[0])
        _shorten(fleet.vms[1].state)
        for behaviour in ('slow', 'trickle'):
            for upstream in fleet.upstreams.values():
                upstream.behaviour = behaviour
            for path, body in REQUESTS:
                answer, _ = await _ask(fleet, path, body)
                answers[behaviour, path] = answer
    assert set(answers.values()) == {'whole'}, answers


@in_virtual_time
async def test_callers_vm_keeps_its_timeout() -> None:
    """Its shorter timeout counts, whatever a peer's route table allows."""
    answers = []
    async with running_fleet(vm_count=2) as fleet:
        await trio.sleep(TRUSTED_AFTER_S)
        await fleet.cut_off(fleet.vms[0])
        longer = fleet.vms[1].state.table
        for vm in fleet.vms:
            _shorten(vm.state)
        newer = attrs.evolve(longer, version=longer.version + 2)
        assert fleet.vms[1].state.adopt(newer)
        for upstream in fleet.upstreams.values():
            upstream.behaviour = 'slow'
        for path, body in REQUESTS:
            answers.append(await _ask(fleet, path, body))
    for answer, took_s in answers:
        assert 'request.deadline_passed' in answer, answers
        assert SHORT_S <= took_s <= SHORT_S + LATE_S
