"""The state of one VM without peers or tasks, for tests in one process."""

from typing import Any

import trio

from chestnutshift.accounts.seats import SeatLease
from chestnutshift.conf.settings import (
    CallersSettings,
    OperatorsSettings,
    PeersSettings,
    PlatformSettings,
    Settings,
    VmSettings,
)
from chestnutshift.configuration.model import (
    AccountLimit,
    Configuration,
    KeyRecord,
    Preset,
    Service,
)
from chestnutshift.keys import credentials
from chestnutshift.storage.backends.memory import MemoryPlatform
from chestnutshift.vms.assembly import make_state
from chestnutshift.vms.membership import VmPhase
from chestnutshift.vms.state import VmState

KEY = 'q7Jr-Xb2_Wm9sKd4Tz8Lh1Vc6Nf3Pg5Yy0Ae7Uo2Ri4S'
ACCOUNT = 'konya'
VALIDITY_S = 1e6


def make_configuration(**preset: Any) -> Configuration:
    """Return a configuration with a service that requires keys and an open one.

    preset gives further fields of its only preset.
    """
    limits = {ACCOUNT: AccountLimit(rate=100, burst=100)}
    return Configuration(
        number=1,
        deployment='test',
        services=(
            Service('listings', '/listings'),
            Service('open', '/open', open=True),
        ),
        presets={'ordinary': Preset(accounts=limits, **preset)},
        in_force='ordinary',
        keys={credentials.digest(KEY): KeyRecord(ACCOUNT, 'test')},
    )


def make_vm(configuration: Configuration) -> VmState:
    """Return a live VM without peers that holds its seat and trusts keys."""
    settings = Settings(
        vm=VmSettings('vm', 'region', 'domain'),
        callers=CallersSettings('127.0.0.1', 1, 'http://127.0.0.1:1'),
        operators=OperatorsSettings('127.0.0.1', 2, 'none'),
        peers=PeersSettings('127.0.0.1', 3, 'none'),
        platform=PlatformSettings('http://127.0.0.1:4'),
    )
    state = make_state(settings, MemoryPlatform())
    now = trio.current_time()
    state.holder.offer(configuration)
    state.adopt(configuration, now)
    state.confirm(now + VALIDITY_S)
    state.admission.apply_renewal(SeatLease(now, now, now + VALIDITY_S), now)
    state.local_upstreams.apply_seat(1, now)
    state.phase = VmPhase.LIVE
    return state
