"""Limits are decided by one VM of a region, and without it if it is silent."""

import attrs
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.dialect import InboundRequest
from chestnutshift.edge.limits import (
    UNDECIDED_RETRY_AFTER_MAX_S,
    LimitCalls,
    LimitChecker,
)
from chestnutshift.edge.peers import Handler
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.beats import Beat, MemberPhase
from chestnutshift.fleet.datagrams import Message
from chestnutshift.fleet.questions import LimitQuestion
from chestnutshift.fleet.view import Peer
from chestnutshift.forwarding.problems import RefusalError
from chestnutshift.platform.route_tables import decode_route_table
from chestnutshift.routes.model import Account, Route
from tests.edge.world import make_settings
from tests.fleet.world import make_member
from tests.platform.samples import route_table

SMALL = Account('small', rate=4, burst=4)
ROUTE = Route('r1', 'one.example', '/', ())


@attrs.define
class MessengerStandIn:
    """Bring questions to the VM that decides, unless that is silent."""

    decider: EdgeState
    handlers: dict[type, Handler] = attrs.field(factory=dict)
    is_silent: bool = False
    asked: int = 0

    def send(self, message: Message, _peer: Peer) -> None:
        """Answer at once, as the other VM would."""
        assert isinstance(message, LimitQuestion)
        self.asked += 1
        if self.is_silent:
            return
        calls = LimitCalls(self.decider, MessengerStandIn(self.decider))
        answer = calls.answer(message, boot_time())
        self.handlers[type(answer)](answer, boot_time())


def make_state(vm: str, other: str) -> EdgeState:
    """Return a VM that hears one other of its region, which decides."""
    settings = attrs.evolve(make_settings(store_port=1), vm=vm, region='a')
    state = EdgeState(settings, 1, EventLog(vm))
    table = decode_route_table(route_table())
    accounts = {SMALL.name: SMALL}
    state.adopt(attrs.evolve(table, accounts=accounts))
    now = boot_time()
    state.fleet.enlist(make_member(other), now)
    beat = Beat(other, 1, 1, now, MemberPhase.SERVING, table.version)
    state.fleet.hear(beat, now)
    state.phase = MemberPhase.SERVING
    state.refresh(now)
    return state


def make_pair() -> tuple[EdgeState, MessengerStandIn, LimitChecker]:
    """Return a VM that does not decide, and how it talks and checks."""
    names = ['vm-1', 'vm-2']
    first = make_state('vm-1', 'vm-2')
    decider = first.deciders.near(SMALL)[0]
    names.remove(decider)
    asker = make_state(names[0], decider)
    messenger = MessengerStandIn(make_state(decider, names[0]))
    checker = LimitChecker(asker, LimitCalls(asker, messenger))
    return asker, messenger, checker


def admitted() -> Admitted:
    """Return a request of the small account."""
    request = InboundRequest('r-1', 'GET', 'one.example', '/', (), None, b'')
    return Admitted(request, ROUTE, 's1', SMALL, 1)


async def charge_until_refused(checker: LimitChecker) -> tuple[int, float]:
    """Return how many requests passed, and the wait of the one refused."""
    for passed in range(100):
        try:
            await checker.charge(admitted())
        except RefusalError as error:
            return passed, error.problem.retry_after_s
    raise AssertionError('nothing was refused')


@trio_test
async def test_the_deciding_vm_is_asked() -> None:
    """Pattern: a small account whose callers use another VM."""
    _, messenger, checker = make_pair()
    passed, wait_s = await charge_until_refused(checker)
    assert passed > SMALL.burst / 2
    assert messenger.asked >= passed
    assert wait_s > 0


@trio_test
async def test_a_refusal_is_kept_for_a_moment() -> None:
    """Pattern: hot account. Its flood is not passed on to one VM."""
    _, messenger, checker = make_pair()
    await charge_until_refused(checker)
    asked = messenger.asked
    for _ in range(20):
        await charge_until_refused(checker)
    assert messenger.asked - asked <= 2


@trio_test
async def test_a_silent_vm_is_done_without() -> None:
    """Pattern: the deciding VM dies. Callers come back soon."""
    _, messenger, checker = make_pair()
    messenger.is_silent = True
    _, wait_s = await charge_until_refused(checker)
    assert 0 < wait_s <= UNDECIDED_RETRY_AFTER_MAX_S
    assert messenger.asked == 1
