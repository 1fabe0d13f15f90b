"""Serve the callers' port and the operators' port of one VM."""

import logging
import random

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from chestnutshift.callers.application import CallersApplication
from chestnutshift.callers.limits import CallerLimits
from chestnutshift.callers.listener import CallersListener, open_listeners
from chestnutshift.callers.steering import make_steering
from chestnutshift.conf.loader import read_secret
from chestnutshift.conf.settings import TlsSettings
from chestnutshift.forwarding.application import Forwarder
from chestnutshift.operators.application import make_operators
from chestnutshift.vms.state import VmState

BACKLOG = 512


async def serve_callers(state: VmState, stopping: trio.Event) -> None:
    """Serve until stopping is set, then end what is in flight."""
    callers = state.settings.callers
    forwarder = Forwarder(
        failure_domain=state.settings.vm.failure_domain,
        holder=state.holder,
        key_ring=state.key_ring,
        directory=state.directory,
        event_log=state.event_log,
        rng=random.Random(state.incarnation),
    )
    application = CallersApplication(make_steering(state), forwarder)
    limits = CallerLimits(
        header_limit_b=callers.header_limit_b,
        header_timeout_s=callers.header_timeout_s,
        connections_max=callers.connections_max,
        grace_s=state.settings.grace_s,
    )
    listeners = await open_listeners(
        callers.address,
        callers.port,
        callers.tls.certificate_file,
        callers.tls.key_file,
    )
    await CallersListener(application, limits).serve(listeners, stopping)


async def serve_operators(state: VmState) -> None:
    """Serve until cancelled."""
    operators = state.settings.operators
    application = make_operators(state, read_secret(operators.secret_file))
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
