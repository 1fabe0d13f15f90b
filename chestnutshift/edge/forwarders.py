"""Assembly of the applications that forward requests."""

import attrs

from chestnutshift.edge.attempt_observer import AttemptObserver
from chestnutshift.edge.attempts import UpstreamPool
from chestnutshift.edge.crash_guard import CrashGuard
from chestnutshift.edge.crossings import CrossingReader
from chestnutshift.edge.dialect import Dialect
from chestnutshift.edge.forwarder import EdgeForwarder
from chestnutshift.edge.gates import CallersGate, PeersGate
from chestnutshift.edge.limits import LimitCalls, LimitChecker
from chestnutshift.edge.passing_on import PeerForwarder, PeerPool
from chestnutshift.edge.peers import PeerMessenger
from chestnutshift.edge.reach_monitor import ReachMonitor
from chestnutshift.edge.refusals import Refusals
from chestnutshift.edge.request_runner import RequestRunner
from chestnutshift.edge.retry_decider import RetryDecider
from chestnutshift.edge.state import EdgeState
from chestnutshift.forwarding.crossing import CrossingVerifier


@attrs.frozen
class ForwardingParts:
    """What the forwarders share with the other tasks of a VM."""

    upstream_pool: UpstreamPool
    peer_pool: PeerPool
    crash_guard: CrashGuard
    monitor: ReachMonitor
    messenger: PeerMessenger


@attrs.frozen
class Forwarders:
    """The applications of the ports for callers and for peers."""

    callers: EdgeForwarder
    peers: EdgeForwarder


def make_forwarders(
    state: EdgeState, dialect: Dialect, parts: ForwardingParts
) -> Forwarders:
    """Return the forwarders of a VM, which use the same upstreams."""
    request_runner = RequestRunner(
        state,
        dialect,
        parts.upstream_pool,
        AttemptObserver(state, parts.monitor),
        parts.monitor,
        parts.crash_guard,
        PeerForwarder(state, dialect, parts.peer_pool),
        RetryDecider(state, parts.crash_guard),
        Refusals(state),
    )
    checker = LimitChecker(state, LimitCalls(state, parts.messenger))
    verifier = CrossingVerifier(
        state.fleet.token.encode(), f'{state.incarnation}'
    )
    return Forwarders(
        EdgeForwarder(
            state, dialect, request_runner, CallersGate(state, checker)
        ),
        EdgeForwarder(
            state,
            dialect,
            request_runner,
            PeersGate(state, CrossingReader(verifier)),
            is_for_peers=True,
        ),
    )
