"""Hold client accounts to their limits, here or at the VM that decides."""

import itertools
from collections.abc import Iterator

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events, reasons
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.peers import PeerTalk
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.questions import LimitAnswer, LimitQuestion
from chestnutshift.fleet.view import Peer
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.routes.model import Account

# A token that comes within this time is waited for.
TOKEN_WAIT_S = 0.06
# The VM that decides is in the same region, some milliseconds away.
ANSWER_WAIT_S = 0.2
# VMs asked about one request before this one decides itself.
ASKED_MAX = 2
# Where those that decide are silent, callers come back after no longer.
UNDECIDED_S = 1.0
# A refusal holds this long for the account's other requests, so that a flood
# of them is not passed on to the VM that decides.
REFUSAL_KEPT_S = 0.1


@attrs.define
class _Waiter:
    answered: trio.Event = attrs.field(factory=trio.Event)
    answer: LimitAnswer | None = None


class LimitCalls:
    """Ask peers about limits, and answer their questions."""

    def __init__(self, state: EdgeState, talk: PeerTalk) -> None:
        """Take the peers' questions from now on."""
        self._state = state
        self._talk = talk
        self._numbers = itertools.count(1)
        self._waiters: dict[int, _Waiter] = {}
        talk.handlers[LimitQuestion] = self.answer
        talk.handlers[LimitAnswer] = self.take

    async def ask(
        self,
        peer: Peer,
        account: str,
        *,
        is_repeat: bool,
    ) -> LimitAnswer | None:
        """Return the peer's answer, None if it gave none in time."""
        number = next(self._numbers)
        waiter = _Waiter()
        self._waiters[number] = waiter
        question = LimitQuestion(number, account, is_repeat=is_repeat)
        try:
            with trio.move_on_after(ANSWER_WAIT_S):
                self._talk.send(question, peer)
                await waiter.answered.wait()
        finally:
            self._waiters.pop(number)
        outcome = _outcome(waiter.answer)
        self._state.metrics.limit_questions.labels(outcome).inc()
        return waiter.answer

    def answer(self, question: LimitQuestion, now: float) -> LimitAnswer | None:
        """Decide for a peer; return None for an account not known here."""
        state = self._state
        table = state.table
        account = table.accounts.get(question.account) if table else None
        if account is None:
            return None
        shares = state.shares
        decide = shares.retry if question.is_repeat else shares.admit
        return LimitAnswer(question.number, decide(account, now))

    def take(self, answer: LimitAnswer, now: float) -> None:
        """Take the answer to a question of this VM, unless it is late."""
        waiter = self._waiters.get(answer.number)
        if waiter is not None:
            waiter.answer = answer
            waiter.answered.set()


def _outcome(answer: LimitAnswer | None) -> str:
    if answer is None:
        return 'unanswered'
    return 'within' if answer.wait_s is None else 'over'


class LimitChecker:
    """Admit requests within their accounts' limits."""

    def __init__(self, state: EdgeState, calls: LimitCalls) -> None:
        """Ask by these calls where another VM decides."""
        self._state = state
        self._calls = calls
        # When the refusal of an account ends that was passed on before.
        self._refused_until: dict[str, float] = {}
        # When a peer left a question unanswered.
        self._unanswered_at: dict[str, float] = {}

    async def charge(self, admitted: Admitted) -> None:
        """Take a request from its account's limit; raises RefusalError.

        A token that is just about to come is waited for.
        """
        account = admitted.account
        if account is None or account.rate <= 0:
            return
        wait_s = await self._check(account, is_repeat=False)
        if wait_s is not None and wait_s <= TOKEN_WAIT_S:
            await trio.sleep(wait_s)
            wait_s = await self._check(account, is_repeat=True)
        if wait_s is not None:
            raise RefusalError(
                Problem(
                    429,
                    'accounts.over_limit',
                    reasons.over_limit(account, self._state),
                    retry_after_s=wait_s,
                ),
            )

    async def _check(
        self, account: Account, *, is_repeat: bool
    ) -> float | None:
        """Return None, or the seconds until a request may come again."""
        now = boot_time()
        kept_s = self._refused_until.get(account.name, now) - now
        if kept_s > 0 and not is_repeat:
            return kept_s
        for peer in self._to_ask(account, now):
            answer = await self._calls.ask(
                peer, account.name, is_repeat=is_repeat
            )
            if answer is not None:
                self._keep(account, answer, boot_time())
                return answer.wait_s
            self._note_unanswered(peer, boot_time())
        shares = self._state.shares
        decide = shares.retry if is_repeat else shares.admit
        wait_s = decide(account, boot_time())
        if wait_s is None or self._is_decider(account):
            return wait_s
        return min(UNDECIDED_S, wait_s)

    def _is_decider(self, account: Account) -> bool:
        deciders = self._state.deciders
        if deciders.is_divided(account):
            return True
        return self._state.settings.vm in deciders.near(account)[:1]

    def _to_ask(self, account: Account, now: float) -> Iterator[Peer]:
        """Yield the peers to ask, in order; none if this VM decides."""
        state = self._state
        if state.deciders.is_divided(account):
            return
        asked = 0
        for vm in state.deciders.near(account):
            peer = state.fleet.find(vm)
            if peer is None or asked == ASKED_MAX:
                return
            if peer.heard_at > self._unanswered_at.get(vm, 0):
                asked += 1
                yield peer

    def _keep(self, account: Account, answer: LimitAnswer, now: float) -> None:
        if answer.wait_s is None or answer.wait_s <= TOKEN_WAIT_S:
            return
        kept_s = min(REFUSAL_KEPT_S, answer.wait_s)
        self._refused_until[account.name] = now + kept_s

    def _note_unanswered(self, peer: Peer, now: float) -> None:
        vm = peer.member.vm
        self._unanswered_at[vm] = now
        self._state.event_log.emit(
            events.LIMIT_UNANSWERED,
            peer=vm,
            silent_s=round(now - peer.heard_at, 3),
        )
