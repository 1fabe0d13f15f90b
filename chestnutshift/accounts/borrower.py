"""The taker's side of loans: which peers are asked for how much, and when."""

import math
import random
from collections.abc import Iterator

import attrs

from chestnutshift.accounts.bucket import EPSILON
from chestnutshift.accounts.loans import (
    NEW_LOAN,
    BorrowedLoan,
    LoanGrant,
    LoanRequest,
    OpenAsk,
    Peer,
)
from chestnutshift.accounts.share import AccountShare
from chestnutshift.accounts.targets import Targets

# A request without an answer for so long no longer counts, in seconds.
ASK_TIMEOUT_S = 0.25

# A peer that had nothing to lend is left alone for so long, in seconds.
BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 0.4

# So long after a refusal without a later loan peers count as empty, seconds.
HOPELESS_S = 2.0

# A loan is renewed once this part of its life is over.
RENEW_AFTER = 0.5

# Rate over the need is handed back early if it is this part of the whole.
SURPLUS = 0.25

# Rate is asked for in steps of at least this part of the seat's own.
RATE_STEP = 0.1

# What one peer is expected to give, as a part of its seat's burst.
EXPECTED_PART = 0.25

# A loan is kept at least this long before it is handed back, in seconds.
KEEP_MIN_S = 0.3


@attrs.define
class Borrower:
    """Borrow one account's shares for one VM incarnation."""

    _vm: str
    _account: str
    _rng: random.Random
    _asks: dict[int, OpenAsk] = attrs.field(factory=dict)
    _delays: dict[str, float] = attrs.field(factory=dict)
    _silent_until: dict[str, float] = attrs.field(factory=dict)
    _refused_at: float = -math.inf

    def is_hopeful(self, now: float) -> bool:
        """Tell whether peers are likely to have tokens for this VM.

        They are unless the newest answer was a refusal not long ago.
        """
        return now - self._refused_at > HOPELESS_S

    def plan(
        self,
        share: AccountShare,
        targets: Targets,
        peers: tuple[Peer, ...],
        life_s: float,
        numbers: Iterator[int],
        now: float,
    ) -> list[LoanRequest]:
        """Return what is asked of peers now; reduces own loans first.

        The caller has refreshed the share.
        """
        self._forget_asks(now, life_s)
        requests = self._renew(share, targets, life_s, numbers, now)
        requests.extend(self._ask(share, targets, peers, numbers, now))
        return requests

    def receive(
        self,
        peer: str,
        grant: LoanGrant,
        share: AccountShare,
        now: float,
    ) -> bool:
        """Use a grant; tell whether it was still worth anything."""
        ask = self._asks.pop(grant.ask, None)
        if ask is None or ask.peer != peer:
            return False
        share.refresh(now)
        expires = ask.asked + grant.life_s
        if ask.loan != NEW_LOAN:
            return self._extend(grant, share, expires, now)
        if expires <= now:
            return False
        if grant.loan == NEW_LOAN:
            self._note_refusal(peer, now)
            return False
        self._delays.pop(peer, None)
        self._refused_at = -math.inf
        share.borrowed[grant.giver, grant.loan] = BorrowedLoan(
            peer,
            grant.giver,
            grant.loan,
            grant.rate,
            grant.burst,
            now,
            expires,
        )
        share.resize(now)
        share.bucket.add(min(grant.tokens, grant.burst))
        return True

    def _extend(
        self,
        grant: LoanGrant,
        share: AccountShare,
        expires: float,
        now: float,
    ) -> bool:
        key = (grant.giver, grant.loan)
        loan = share.borrowed.get(key)
        if loan is None:
            return False
        if grant.life_s <= 0:
            share.borrowed[key] = attrs.evolve(
                loan,
                allowed_rate=grant.rate,
                allowed_burst=grant.burst,
            )
            return True
        share.borrowed[key] = attrs.evolve(
            loan,
            expires=max(loan.expires, expires),
        )
        share.resize(now)
        return True

    def _note_refusal(self, peer: str, now: float) -> None:
        self._refused_at = now
        delay_s = self._delays.get(peer, BACKOFF_FIRST_S)
        self._delays[peer] = min(BACKOFF_MAX_S, delay_s * 2)
        self._silent_until[peer] = now + delay_s * (0.5 + self._rng.random())

    def _forget_asks(self, now: float, life_s: float) -> None:
        if not self._asks:
            return
        self._asks = {
            number: ask
            for number, ask in self._asks.items()
            if now - ask.asked < life_s
        }

    def _renew(
        self,
        share: AccountShare,
        targets: Targets,
        life_s: float,
        numbers: Iterator[int],
        now: float,
    ) -> list[LoanRequest]:
        if not share.borrowed:
            return []
        asked = {
            (ask.peer, ask.loan)
            for ask in self._asks.values()
            if now - ask.asked < ASK_TIMEOUT_S
        }
        requests = []
        for key, loan in sorted(share.borrowed.items()):
            if (loan.peer, loan.loan) in asked:
                continue
            due = loan.expires - now < life_s * (1 - RENEW_AFTER)
            if due or _is_surplus(loan, share, targets, now):
                requests.append(
                    self._keep(key, share, targets, next(numbers), now),
                )
        return requests

    def _keep(
        self,
        key: tuple[str, int],
        share: AccountShare,
        targets: Targets,
        number: int,
        now: float,
    ) -> LoanRequest:
        loan = share.borrowed[key]
        spare_rate = max(0, share.bucket.rate - targets.held_rate)
        spare_burst = max(0, share.bucket.capacity - targets.high)
        kept = attrs.evolve(
            loan,
            rate=max(0, min(loan.rate - spare_rate, loan.allowed_rate)),
            burst=max(0, min(loan.burst - spare_burst, loan.allowed_burst)),
        )
        level = share.bucket.level
        share.borrowed[key] = kept
        if kept.rate <= EPSILON and kept.burst <= EPSILON:
            share.borrowed.pop(key)
        share.resize(now)
        self._asks[number] = OpenAsk(
            loan.peer,
            self._account,
            loan.loan,
            0,
            0,
            now,
        )
        return LoanRequest(
            peer=loan.peer,
            giver=loan.giver,
            taker=self._vm,
            account=self._account,
            ask=number,
            loan=loan.loan,
            rate=kept.rate,
            burst=kept.burst,
            tokens=level - share.bucket.level,
        )

    def _ask(
        self,
        share: AccountShare,
        targets: Targets,
        peers: tuple[Peer, ...],
        numbers: Iterator[int],
        now: float,
    ) -> list[LoanRequest]:
        open_asks = [
            ask
            for ask in self._asks.values()
            if ask.loan == NEW_LOAN and now - ask.asked < ASK_TIMEOUT_S
        ]
        rate = targets.wanted_rate - share.bucket.rate
        rate -= sum(ask.rate for ask in open_asks)
        if rate <= share.base_rate * RATE_STEP:
            rate = 0
        tokens = 0
        if share.bucket.level < targets.low:
            tokens = targets.high - share.bucket.level
            tokens -= sum(ask.tokens for ask in open_asks)
        if rate <= 0 and tokens <= 0:
            return []
        busy = {ask.peer for ask in open_asks}
        requests = []
        for peer in self._order(peers, busy, now):
            if rate <= EPSILON and tokens <= EPSILON:
                break
            part = min(max(0, rate), share.base_rate)
            expected = min(max(0, tokens), share.base_burst * EXPECTED_PART)
            ask = OpenAsk(
                peer.name,
                self._account,
                NEW_LOAN,
                part,
                expected,
                now,
            )
            requests.append(self._request(ask, share, targets, next(numbers)))
            rate -= part
            tokens -= expected
        return requests

    def _order(
        self,
        peers: tuple[Peer, ...],
        busy: set[str],
        now: float,
    ) -> list[Peer]:
        free = [
            peer
            for peer in peers
            if peer.name not in busy
            and self._silent_until.get(peer.name, now) <= now
        ]
        self._rng.shuffle(free)
        return sorted(free, key=lambda peer: not peer.near)

    def _request(
        self,
        ask: OpenAsk,
        share: AccountShare,
        targets: Targets,
        number: int,
    ) -> LoanRequest:
        self._asks[number] = ask
        return LoanRequest(
            peer=ask.peer,
            giver='',
            taker=self._vm,
            account=self._account,
            ask=number,
            loan=NEW_LOAN,
            rate=ask.rate,
            burst=targets.high,
            tokens=share.bucket.level,
        )


def _is_surplus(
    loan: BorrowedLoan,
    share: AccountShare,
    targets: Targets,
    now: float,
) -> bool:
    if loan.rate > loan.allowed_rate or loan.burst > loan.allowed_burst:
        return True
    if loan.burst > EPSILON:
        rest = share.bucket.capacity - loan.burst
        if rest >= targets.high:
            return True
    spare_rate = share.bucket.rate - targets.held_rate
    return (
        spare_rate > max(SURPLUS * share.bucket.rate, share.base_rate / 2)
        and now - loan.since > KEEP_MIN_S
    )
