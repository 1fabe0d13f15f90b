"""Register this VM in the store's table of VMs."""

import abc
import random

import attrs
import trio

from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState
from chestnutshift.exceptions import CodedError
from chestnutshift.fleet.members import Member

RETRY_S = 0.3
RETRY_MAX_S = 2.0


class MemberRegister(abc.ABC):
    """Write access to the store's table of VMs."""

    @abc.abstractmethod
    async def register_member(self, member: Member) -> None:
        """Write the VM's row; raises CodedError if the outcome is unknown."""


@attrs.define
class Registrar:
    """Writes this VM's row, with retries; the write is idempotent."""

    _register: MemberRegister
    _rng: random.Random = attrs.field(factory=random.Random)

    async def run(self, state: EdgeState) -> None:
        """Register, and again whenever the store lacks the row."""
        while True:
            state.registration_lost = trio.Event()
            await self._register_until_confirmed(state)
            await state.registration_lost.wait()
            state.event_log.emit(events.REGISTRATION_LOST, era=state.store_era)

    async def _register_until_confirmed(self, state: EdgeState) -> None:
        settings = state.settings
        member = Member(
            vm=settings.vm,
            endpoint=attrs.evolve(settings.callers, port=settings.peer_port),
            callers=str(settings.callers),
            failure_domain=settings.failure_domain,
            region=settings.region,
            incarnation=state.incarnation,
            link_mbps=settings.link_mbps,
            crossings=settings.crossings,
            token=state.fleet.token,
        )
        failures = 0
        while True:
            try:
                await self._register.register_member(member)
            except CodedError as error:
                failures += 1
                state.event_log.emit(
                    events.STORE_LOST,
                    source='register',
                    code=error.code,
                    detail=error.detail,
                )
                pause_s = min(RETRY_MAX_S, RETRY_S * failures)
                await trio.sleep(pause_s * self._rng.uniform(0.5, 1))
            else:
                return
