"""An entry VM without platform and peers, for benchmarks and tests."""

import pathlib
import tempfile
from collections.abc import Iterable
from typing import Any

import trio

from chestnutshift.conf import settings
from chestnutshift.configuration.model import (
    AccountLimit,
    Configuration,
    KeyRecord,
    Preset,
    Service,
    SharesPreset,
)
from chestnutshift.keys import credentials
from chestnutshift.keys.freshness import KnowledgeView
from chestnutshift.storage.backends.memory import MemoryPlatform
from chestnutshift.storage.records import VmList, VmRecord, VmRole
from chestnutshift.vms import upkeep
from chestnutshift.vms.assembly import make_state
from chestnutshift.vms.state import VmState

KEY = 'q7Jr-Xb2_Wm9sKd4Tz8Lh1Vc6Nf3Pg5Yy0Ae7Uo2Ri4S'
ACCOUNT = 'konya'
RATE = 1e6
TRUST_S = 1e9
SLOTS = 100
HOST = '127.0.0.1'
SERVICES = (
    Service('listings', '/listings'),
    Service('open', '/open', open=True),
    Service('bookings', '/bookings', idempotent=False),
)


def _make_settings(port: int) -> settings.Settings:
    with tempfile.NamedTemporaryFile(delete=False) as secret:
        secret.write(b'secret')
    path = pathlib.Path(secret.name)
    return settings.Settings(
        vm=settings.VmSettings('vm', 'region', 'domain'),
        callers=settings.CallersSettings(HOST, port, f'http://{HOST}:{port}'),
        operators=settings.OperatorsSettings(HOST, 0, str(path)),
        peers=settings.PeersSettings(HOST, 0, str(path)),
        platform=settings.PlatformSettings(''),
    )


def list_upstreams(ports: Iterable[int], service: str = 'listings') -> VmList:
    """Return a platform list with an upstream on each port."""
    records = [
        VmRecord(
            f'upstream-{port}',
            VmRole.UPSTREAM,
            'domain',
            'region',
            f'{HOST}:{port}',
            service=service,
            slots=SLOTS,
        )
        for port in ports
    ]
    return VmList(trio.current_time(), tuple(records))


async def start_vm(
    nursery: trio.Nursery,
    port: int,
    upstreams: VmList,
    **preset: Any,
) -> VmState:
    """Return a VM that holds the lease of its seat and uses the upstreams."""
    state = make_state(_make_settings(port), MemoryPlatform())
    shares = SharesPreset()
    limits = {ACCOUNT: AccountLimit(rate=RATE, burst=RATE)}
    configuration = Configuration(
        number=1,
        deployment='test',
        services=SERVICES,
        presets={'ordinary': Preset(accounts=limits, **preset)},
        in_force='ordinary',
        keys={credentials.digest(KEY): KeyRecord(ACCOUNT, 'test')},
    )
    now = trio.current_time()
    state.holder.offer(configuration)
    state.adopt(configuration, now)
    state.key_ring.update_knowledge(KnowledgeView(TRUST_S, now))
    state.update_vm_list(upstreams, now)
    lease = await state.seat_manager.step(shares, 0)
    state.admission.apply_renewal(lease, trio.current_time())
    state.local_upstreams.apply_seat(
        state.seat_manager.fence, trio.current_time()
    )
    nursery.start_soon(upkeep.run_upkeep, state)
    # The buckets of a new lease holder are empty; let them fill.
    await trio.sleep(0.01)
    return state
