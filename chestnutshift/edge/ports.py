"""The ports of an edge VM, and the graceful stop of those that forward."""

import functools
from collections.abc import Awaitable, Callable, Collection

import attrs
import trio

from chestnutshift.callers.connection import Application
from chestnutshift.callers.limits import CallerLimits
from chestnutshift.callers.listener import (
    CallersListener,
    Listener,
    open_listeners,
)
from chestnutshift.conf import defaults
from chestnutshift.edge.caller_waits import CallerWaits
from chestnutshift.edge.connection_ends import report_connection_end
from chestnutshift.edge.containment import keep_running, report_fault
from chestnutshift.edge.descriptors import (
    PortShare,
    divide,
    find_limit,
)
from chestnutshift.edge.exceptions import StartError
from chestnutshift.edge.forwarders import Forwarders
from chestnutshift.edge.metrics_page import MetricsApplication
from chestnutshift.edge.settings import Endpoint
from chestnutshift.edge.starting import PortOpener
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.stopping import ACCEPT_RATIO, END_RATIO, RESET_RATIO
from chestnutshift.memory.sizes import affordable_connections

# Idle connections stay open for requests this long after the stop began.
STOP_IDLE_S = 1.0
# Headers that a peer adds to a request that it passes on, in bytes.
CROSSING_HEAD_B = 8192
# Requests of one caller's connection that are served at the same time.
PIPELINED_MAX = 8


@attrs.frozen
class OpenPorts:
    """Listeners of the ports without which a VM can't serve."""

    crossings: list[Listener]
    callers: list[Listener]
    entries: dict[Endpoint, list[Listener]]


@attrs.frozen
class Ports:
    """Serves callers, peers, look-ups, readiness and metrics."""

    _state: EdgeState
    _entry: Application
    _forwarders: Forwarders
    _stopping: trio.Event

    async def open(
        self,
        nursery: trio.Nursery,
        open_messages: Callable[[], Awaitable[None]],
    ) -> OpenPorts | StartError | None:
        """Open the ports without which a VM can't serve.

        open_messages opens that of messages between VMs. Return None if the
        VM is stopped while it waits for a port, and why it can't serve.
        """
        with trio.CancelScope() as scope:
            nursery.start_soon(self._cancel_at_stop, scope)
            try:
                return await self._open(open_messages)
            except StartError as error:
                return error
        return None

    async def serve(self, nursery: trio.Nursery, ports: OpenPorts) -> None:
        """Serve until the graceful stop of callers and peers is complete.

        The other ports are served in the nursery until it is cancelled.
        """
        limits = make_limits(self._state)
        shares = divide(find_limit(self._state.settings.descriptors_max))
        callers = self._make_listener(
            self._forwarders.callers,
            attrs.evolve(limits, pipelined_max=PIPELINED_MAX),
        )
        peers = self._make_listener(
            self._forwarders.peers,
            attrs.evolve(
                _within_share(limits, shares.peers),
                # Peers go by times of their own, not by the route table's.
                find_waits=None,
                find_header_limit_b=functools.partial(
                    _header_limit_b, self._state, CROSSING_HEAD_B
                ),
            ),
        )
        self._serve_others(nursery, limits, ports)
        stop_serving = trio.Event()
        stop = functools.partial(
            self._stop_after_grace, (callers, peers), stop_serving
        )
        nursery.start_soon(keep_running, self._state, 'stop', stop)
        async with trio.open_nursery() as serving:
            serving.start_soon(peers.serve, ports.crossings, stop_serving)
            await callers.serve(ports.callers, stop_serving)

    async def _cancel_at_stop(self, scope: trio.CancelScope) -> None:
        await self._stopping.wait()
        scope.cancel()

    async def _open(
        self, open_messages: Callable[[], Awaitable[None]]
    ) -> OpenPorts:
        settings = self._state.settings
        opener = PortOpener(self._state)
        messages = attrs.evolve(settings.callers, port=settings.peer_port)
        await opener.open(messages, open_messages)
        entries = dict.fromkeys((settings.readiness, settings.lookups))
        return OpenPorts(
            crossings=await _open(opener, settings.crossings),
            callers=await _open(opener, settings.callers),
            entries={
                endpoint: await _open(opener, endpoint) for endpoint in entries
            },
        )

    def _serve_others(
        self, nursery: trio.Nursery, limits: CallerLimits, ports: OpenPorts
    ) -> None:
        settings = self._state.settings
        shares = divide(find_limit(settings.descriptors_max))
        metrics = attrs.evolve(settings.callers, port=settings.metrics_port)
        page = self._make_listener(
            MetricsApplication(self._state),
            _within_share(limits, shares.metrics),
        )
        # A VM serves its callers without the metrics while their port is taken.
        serve_page = functools.partial(_serve_port, metrics, page, [])
        nursery.start_soon(keep_running, self._state, 'metrics', serve_page)
        names = {
            settings.lookups: 'lookups',
            settings.readiness: 'readiness',
        }
        for endpoint, listeners in ports.entries.items():
            share = getattr(shares, names[endpoint])
            entry = self._make_listener(
                self._entry, _within_share(limits, share)
            )
            serve = functools.partial(_serve_port, endpoint, entry, listeners)
            nursery.start_soon(
                keep_running, self._state, names[endpoint], serve
            )

    def _make_listener(
        self, application: Application, limits: CallerLimits
    ) -> CallersListener:
        return CallersListener(
            application,
            limits,
            functools.partial(report_fault, self._state, 'connection'),
            functools.partial(report_connection_end, self._state),
        )

    async def _stop_after_grace(
        self,
        listeners: Collection[CallersListener],
        stop_serving: trio.Event,
    ) -> None:
        await self._stopping.wait()
        # As of now: a reload may have changed it.
        grace_s = self._state.settings.bounds.grace_s
        for listener in listeners:
            listener.set_grace(
                grace_s * (END_RATIO - ACCEPT_RATIO),
                grace_s * (RESET_RATIO - END_RATIO),
            )
            listener.begin_stop(trio.current_time())
        await trio.sleep(grace_s * ACCEPT_RATIO)
        stop_serving.set()


def _header_limit_b(state: EdgeState, added_b: int = 0) -> int:
    """Return the longest head by the route table in force, plus added_b."""
    table = state.table
    limit_b = table.bounds.header_limit_b if table else defaults.HEADER_LIMIT_B
    return limit_b + added_b


def _within_share(limits: CallerLimits, share: PortShare) -> CallerLimits:
    """Return the limits of a port that has the share."""
    return attrs.evolve(
        limits,
        connections_max=share.connections,
        refused_max=share.refused,
        batch_max=share.batch,
    )


def make_limits(state: EdgeState) -> CallerLimits:
    """Return the limits of the callers' port of a VM."""
    settings = state.settings
    share = divide(find_limit(settings.descriptors_max)).callers
    return CallerLimits(
        find_header_limit_b=functools.partial(_header_limit_b, state),
        connections_max=min(
            share.connections, affordable_connections(settings.memory_b)
        ),
        refused_max=share.refused,
        batch_max=share.batch,
        find_waits=CallerWaits(state).find,
        stop_idle_s=STOP_IDLE_S,
        half_close_is_disconnect=True,
        memory=state.memory,
    )


async def _serve_port(
    endpoint: Endpoint, listener: CallersListener, opened: list[Listener]
) -> None:
    """Serve on the opened listeners, which end with the first call."""
    listeners = opened.copy() or await _listen(endpoint)
    opened.clear()
    await listener.serve(listeners, trio.Event())


async def _open(opener: PortOpener, endpoint: Endpoint) -> list[Listener]:
    return await opener.open(endpoint, functools.partial(_listen, endpoint))


async def _listen(endpoint: Endpoint) -> list[Listener]:
    return await open_listeners(endpoint.address, endpoint.port)
