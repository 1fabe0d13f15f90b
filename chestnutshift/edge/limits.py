"""Rate limits of client accounts, decided here or by a peer."""

import itertools
import random
from collections import OrderedDict
from collections.abc import Iterator

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events, reasons
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.peers import PeerMessenger
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.questions import LimitAnswer, LimitQuestion
from chestnutshift.fleet.view import Peer
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.routes.model import Account

# A request waits for a token that becomes available within this time.
TOKEN_WAIT_MAX_S = 0.06
# The deciding VM is in the same region, a few milliseconds away.
ANSWER_TIMEOUT_S = 0.2
# A question without an answer is sent again after this time, then after twice
# as long, and so on: datagrams are lost while a link is full.
RESEND_S = 0.02
# Answers that are kept, so that a question that arrives twice is charged once.
ANSWERS_KEPT = 4096
# Questions are numbered from a random number of this many bits, so that those
# of different VMs differ.
FIRST_NUMBER_BITS = 60
# Peers asked about one request before this VM decides itself.
PEERS_ASKED_MAX = 2
# Maximum Retry-After when this VM decides because no deciding VM answers.
UNDECIDED_RETRY_AFTER_MAX_S = 1.0
# A refusal is reused this long for other requests of the account, so that a
# flood of them is not passed on to the deciding VM.
REFUSAL_CACHE_S = 0.1


@attrs.define
class _PendingQuestion:
    answered: trio.Event = attrs.field(factory=trio.Event)
    answer: LimitAnswer | None = None


class LimitCalls:
    """Questions between VMs about the limits of accounts."""

    def __init__(self, state: EdgeState, messenger: PeerMessenger) -> None:
        """Register the handlers of questions and answers."""
        self._state = state
        self._messenger = messenger
        first = random.SystemRandom().getrandbits(FIRST_NUMBER_BITS)
        self._numbers = itertools.count(first)
        self._pending: dict[int, _PendingQuestion] = {}
        self._answers: OrderedDict[int, LimitAnswer] = OrderedDict()
        messenger.handlers[LimitQuestion] = self.answer
        messenger.handlers[LimitAnswer] = self.receive

    async def ask(
        self,
        peer: Peer,
        account: str,
        *,
        is_repeat: bool,
    ) -> LimitAnswer | None:
        """Return the peer's answer, or None on timeout."""
        number = next(self._numbers)
        pending = _PendingQuestion()
        self._pending[number] = pending
        question = LimitQuestion(number, account, is_repeat=is_repeat)
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_S):
                await self._send_until_answered(question, peer, pending)
        finally:
            self._pending.pop(number)
        outcome = _outcome(pending.answer)
        self._state.metrics.limit_questions.labels(outcome).inc()
        return pending.answer

    def answer(self, question: LimitQuestion, now: float) -> LimitAnswer | None:
        """Decide for a peer; return None if the account is unknown here.

        A question that arrives again gets the same answer and is not charged
        again.
        """
        earlier = self._answers.get(question.number)
        if earlier is not None:
            return earlier
        state = self._state
        table = state.table
        account = table.accounts.get(question.account) if table else None
        if account is None:
            return None
        shares = state.shares
        decide = shares.retry if question.is_repeat else shares.admit
        answer = LimitAnswer(question.number, decide(account, now))
        self._answers[question.number] = answer
        if len(self._answers) > ANSWERS_KEPT:
            self._answers.popitem(last=False)
        return answer

    def receive(self, answer: LimitAnswer, now: float) -> None:
        """Deliver an answer to the waiting question; ignore a late one."""
        pending = self._pending.get(answer.number)
        if pending is not None:
            pending.answer = answer
            pending.answered.set()

    async def _send_until_answered(
        self,
        question: LimitQuestion,
        peer: Peer,
        pending: _PendingQuestion,
    ) -> None:
        resend_s = RESEND_S
        while not pending.answered.is_set():
            self._messenger.send(question, peer)
            with trio.move_on_after(resend_s):
                await pending.answered.wait()
            resend_s *= 2


def _outcome(answer: LimitAnswer | None) -> str:
    if answer is None:
        return 'unanswered'
    return 'within' if answer.wait_s is None else 'over'


class LimitChecker:
    """Checks requests against the limits of their accounts."""

    def __init__(self, state: EdgeState, calls: LimitCalls) -> None:
        """Create a checker that sends its questions to peers by calls."""
        self._state = state
        self._calls = calls
        # When the cached refusal of an account expires.
        self._refused_until: dict[str, float] = {}
        # When a question to a peer last timed out.
        self._unanswered_at: dict[str, float] = {}

    async def charge(self, admitted: Admitted) -> None:
        """Charge a request to its account's limit; raises RefusalError.

        Waits briefly if a token is about to become available.
        """
        account = admitted.account
        if account is None or account.rate <= 0:
            return
        wait_s = await self._decide(account, is_repeat=False)
        if wait_s is not None and wait_s <= TOKEN_WAIT_MAX_S:
            await trio.sleep(wait_s)
            wait_s = await self._decide(account, is_repeat=True)
        if wait_s is not None:
            raise RefusalError(
                Problem(
                    429,
                    'accounts.over_limit',
                    reasons.over_limit(account, self._state),
                    retry_after_s=wait_s,
                ),
            )

    async def _decide(
        self, account: Account, *, is_repeat: bool
    ) -> float | None:
        """Return None if admitted, else the seconds until a retry may pass."""
        now = boot_time()
        cached_for_s = self._refused_until.get(account.name, now) - now
        if cached_for_s > 0 and not is_repeat:
            return cached_for_s
        for peer in self._peers_to_ask(account, now):
            answer = await self._calls.ask(
                peer, account.name, is_repeat=is_repeat
            )
            if answer is not None:
                self._cache_refusal(account, answer, boot_time())
                return answer.wait_s
            self._record_unanswered(peer, boot_time())
        shares = self._state.shares
        decide = shares.retry if is_repeat else shares.admit
        wait_s = decide(account, boot_time())
        if wait_s is None or self._is_decider(account):
            return wait_s
        return min(UNDECIDED_RETRY_AFTER_MAX_S, wait_s)

    def _is_decider(self, account: Account) -> bool:
        deciders = self._state.deciders
        if deciders.is_divided(account):
            return True
        return self._state.settings.vm in deciders.ranked_in_region(account)[:1]

    def _peers_to_ask(self, account: Account, now: float) -> Iterator[Peer]:
        """Yield the peers to ask, in order; none if this VM decides."""
        state = self._state
        if state.deciders.is_divided(account):
            return
        asked_count = 0
        for vm in state.deciders.ranked_in_region(account):
            peer = state.fleet.find(vm)
            if peer is None or asked_count == PEERS_ASKED_MAX:
                return
            if peer.last_heartbeat_at > self._unanswered_at.get(vm, 0):
                asked_count += 1
                yield peer

    def _cache_refusal(
        self, account: Account, answer: LimitAnswer, now: float
    ) -> None:
        if answer.wait_s is None or answer.wait_s <= TOKEN_WAIT_MAX_S:
            return
        cached_for_s = min(REFUSAL_CACHE_S, answer.wait_s)
        self._refused_until[account.name] = now + cached_for_s

    def _record_unanswered(self, peer: Peer, now: float) -> None:
        vm = peer.member.vm
        self._unanswered_at[vm] = now
        self._state.event_log.emit(
            events.LIMIT_UNANSWERED,
            peer=vm,
            silent_s=round(now - peer.last_heartbeat_at, 3),
        )
