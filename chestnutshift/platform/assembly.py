"""Assembly of an edge VM with the platform's store and dialect."""

import time

from chestnutshift.clocks import make_incarnation
from chestnutshift.edge.backend import Backend
from chestnutshift.edge.host import OUTPUT, write_line
from chestnutshift.edge.process import EdgeProcess
from chestnutshift.edge.starting import read_first_settings
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.vm_registration import Registrar
from chestnutshift.events.log import EventLog
from chestnutshift.logs.bounded import set_up_bounded_logging
from chestnutshift.memory.heap import map_large_buffers
from chestnutshift.platform.entry import EntryApplication
from chestnutshift.platform.heads import PlatformDialect
from chestnutshift.platform.settings import load_settings
from chestnutshift.platform.sources import (
    StoreRegister,
    member_source,
    operator_source,
    upstream_source,
)
from chestnutshift.platform.store import StoreClient

# The log contains every event; memory needs only the most recent ones.
EVENTS_KEPT = 200


async def run_edge() -> None:
    """Run an edge VM until a stop signal; raises StartError."""
    map_large_buffers()
    settings = await read_first_settings(load_settings, write_line)
    lines = set_up_bounded_logging(OUTPUT, time.time())
    event_log = EventLog(settings.vm, kept=EVENTS_KEPT)
    state = EdgeState(settings, make_incarnation(), event_log)
    store = StoreClient(settings.store.endpoint)
    backend = Backend(
        dialect=PlatformDialect(),
        operators=operator_source(store),
        upstreams=upstream_source(store),
        members=member_source(store),
        registrar=Registrar(StoreRegister(store)),
        read_settings=load_settings,
    )
    process = EdgeProcess(state, backend, EntryApplication(state), lines)
    await process.run()
