"""HTTP servers for the callers' port and the operators' port of a VM."""

import logging
import random

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from chestnutshift.callers.application import CallersApplication
from chestnutshift.callers.entries import EntriesPage
from chestnutshift.callers.limits import CallerLimits
from chestnutshift.callers.listener import CallersListener, open_listeners
from chestnutshift.callers.steering import make_steering
from chestnutshift.conf.loader import read_secret
from chestnutshift.conf.settings import TlsSettings
from chestnutshift.configuration.model import Configuration, RetriesPreset
from chestnutshift.forwarding.acceptance import RequestAcceptor
from chestnutshift.forwarding.application import Forwarder
from chestnutshift.forwarding.crossing import CrossingVerifier
from chestnutshift.forwarding.peer_connections import PeerConnections
from chestnutshift.forwarding.request_runner import RequestRunner
from chestnutshift.forwarding.targets import TargetFactory
from chestnutshift.operators.application import make_operators_application
from chestnutshift.retries.budget import RetryBudget
from chestnutshift.vms.state import VmState

BACKLOG = 512
# Fraction of the grace after which requests in progress are refused; those that
# have ended by then are answered in the rest of it.
REQUESTS_RATIO = 0.9


def make_callers_application(
    state: VmState,
    secret: bytes,
) -> CallersApplication:
    """Construct the application that serves the callers' port."""
    rng = random.Random(state.incarnation)
    budget = RetryBudget(RetriesPreset())

    def adopt_retries(configuration: Configuration) -> None:
        budget.preset = configuration.preset.retries

    state.holder.listen(adopt_retries)
    acceptor = RequestAcceptor(
        state.holder,
        state.key_ring,
        state.admission,
        CrossingVerifier(secret, state.incarnation),
    )
    connections = PeerConnections(state.settings.peers.vms, state.links)
    runner = RequestRunner(
        state.local_upstreams,
        state.steering,
        TargetFactory(
            state.local_upstreams, state.steering, connections, secret
        ),
        budget,
        rng,
        state.event_log,
    )
    forwarder = Forwarder(
        acceptor,
        state.ledger,
        runner,
        state.request_canceller,
        state.measures,
        state.event_log,
    )
    return CallersApplication(
        EntriesPage(state.answer_lookup),
        make_steering(state, acceptor),
        forwarder,
    )


async def serve_callers(state: VmState, stopping: trio.Event) -> None:
    """Serve until stopping is set, then finish requests within grace_s."""
    callers = state.settings.callers
    secret = read_secret(state.settings.peers.secret_file)
    application = make_callers_application(state, secret)
    limits = CallerLimits(
        header_limit_b=callers.header_limit_b,
        header_timeout_s=callers.header_timeout_s,
        connections_max=callers.connections_max,
        grace_s=state.settings.grace_s * REQUESTS_RATIO,
        last_answers_s=state.settings.grace_s * (1 - REQUESTS_RATIO),
    )
    listeners = await open_listeners(
        callers.address,
        callers.port,
        callers.tls.certificate_file,
        callers.tls.key_file,
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(
            _cancel_claimed, application, stopping, limits.grace_s
        )
        await CallersListener(application, limits).serve(listeners, stopping)
        nursery.cancel_scope.cancel()


async def _cancel_claimed(
    application: CallersApplication,
    stopping: trio.Event,
    grace_s: float,
) -> None:
    await stopping.wait()
    await trio.sleep(grace_s)
    application.forwarder.cancel_claimed()


async def serve_operators(state: VmState) -> None:
    """Serve the operators' port until cancelled."""
    operators = state.settings.operators
    secret = read_secret(operators.secret_file)
    application = make_operators_application(state, secret, state.measures)
    config = _server_config(operators.address, operators.port, operators.tls)
    await serve(application, config, shutdown_trigger=trio.sleep_forever)


def _server_config(address: str, port: int, tls: TlsSettings) -> Config:
    config = Config()
    config.bind = [f'{address}:{port}']
    config.backlog = BACKLOG
    config.errorlog = logging.getLogger('chestnutshift.http')
    config.accesslog = None
    config.include_server_header = False
    config.alpn_protocols = ['http/1.1']
    if tls.certificate_file:
        config.certfile = tls.certificate_file
        config.keyfile = tls.key_file
    return config
