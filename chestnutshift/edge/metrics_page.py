"""Serve the metrics of an edge VM, and the operators' page beside them."""

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge.crashing_page import CRASHING_PATH, CrashingPage
from chestnutshift.edge.pages import send_page
from chestnutshift.edge.state import EdgeState
from chestnutshift.forwarding.requests import Receive, Send

HTTP_OK = 200
CONTENT_TYPE = b'text/plain; version=0.0.4; charset=utf-8'


@attrs.define
class MetricsApplication:
    """The ASGI application that serves metrics on a port of its own."""

    _state: EdgeState

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Answer any path but that of the page with the metrics."""
        if scope['path'].startswith(CRASHING_PATH):
            await CrashingPage(self._state)(scope, receive, send)
            return
        update_gauges(self._state, boot_time())
        body = self._state.metrics.render()
        await send_page(send, HTTP_OK, body, CONTENT_TYPE)


def update_gauges(state: EdgeState, now: float) -> None:
    """Set the gauges to the current state."""
    _update_memory(state)
    gauges = state.metrics.state
    gauges.proof_age.set(state.freshness.age_s(now))
    gauges.table_version.set(state.table_version)
    problems = state.table.problems if state.table else ()
    gauges.unreadable_parts.set(len(problems))
    gauges.table_unreadable.set(bool(state.trust.table_problem))
    gauges.newest_table.set(state.trust.peer_tables.newest)
    gauges.table_behind.set(state.trust.behind_s(now))
    gauges.peers.set(len(state.fleet.live_peers(now)))
    gauges.timer_delay.set(state.delay_s)
    gauges.in_flight.set(
        sum(upstream.in_flight for upstream in state.directory)
    )


def _update_memory(state: EdgeState) -> None:
    gauges = state.metrics.state.memory
    for kind, used_b in state.memory.used_b.items():
        gauges.used.labels(kind.value).set(used_b)
    gauges.ceiling.set(state.memory.allowed_b)
    gauges.refused.set(state.memory.refused_count)
