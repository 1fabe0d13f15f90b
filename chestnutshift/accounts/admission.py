"""Admission of one VM: whether a request of an account may run now."""

import math

import attrs

from chestnutshift.accounts import events
from chestnutshift.accounts.seats import NO_RIGHT, SeatRight
from chestnutshift.accounts.share import AccountShare
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.events.log import EventLog

# A VM that did not run its plan for so long counts as paused, in seconds.
PAUSE_S = 2.0

# What a refused caller is told when no token is in sight, in seconds.
RETRY_DEFAULT_S = 1.0
RETRY_MAX_S = 30.0

ADMITTED = 'admitted'
UNKNOWN_ACCOUNT = 'unknown_account'
OVER_RATE = 'over_rate'
NO_SHARE = 'no_share'


@attrs.frozen
class Decision:
    """Whether a request is admitted; if not, why and when to come back."""

    admitted: bool
    retry_after_s: float = 0
    reason: str = ADMITTED


@attrs.define
class Admission:
    """The accounts' shares at one VM incarnation.

    seat_count is the number of seats of the whole fleet, over which rate and
    burst are divided equally.
    """

    _vm: str
    _seat_count: int
    _log: EventLog | None = None
    _limits: dict[str, AccountLimit] = attrs.field(factory=dict)
    _shares: dict[str, AccountShare] = attrs.field(factory=dict)
    _right: SeatRight = NO_RIGHT
    _planned: float = math.inf
    _awake_since: float = -math.inf

    @property
    def right(self) -> SeatRight:
        """When this VM may spend its seat's share."""
        return self._right

    def admit(self, account: str, now: float) -> Decision:
        """Decide about one request of the account at now (seconds)."""
        if account not in self._limits:
            return Decision(
                admitted=False,
                retry_after_s=RETRY_MAX_S,
                reason=UNKNOWN_ACCOUNT,
            )
        self._check_pause(now)
        share = self._shares[account]
        if share.spend(now):
            return Decision(admitted=True)
        return self._refuse(account, share)

    def configure(self, limits: dict[str, AccountLimit], now: float) -> None:
        """Use other limits from now on; tokens already there stay.

        A window that spans the change stays under the larger of the limits.
        """
        self._limits = dict(limits)
        # The share of a removed account stays known, with nothing to spend:
        # loans given out of it may still run when the account comes back.
        for account in sorted(self._shares.keys() | limits.keys()):
            limit = limits.get(account, AccountLimit(0, 0))
            share = self._shares.setdefault(account, AccountShare())
            share.refresh(now)
            share.right = self._right
            share.base_rate = limit.rate / self._seat_count
            share.base_burst = limit.burst / self._seat_count
            share.resize(now)

    def renewed(self, right: SeatRight, now: float) -> None:
        """Use the right that the platform confirmed.

        A renewal started before a pause of this VM is ignored: the seat may
        have gone to another VM meanwhile.
        """
        self._check_pause(now)
        if right.started < self._awake_since:
            return
        self._set_right(right, now)

    def surrender(self, now: float) -> float:
        """Stop spending; return the seconds that loans given still run."""
        self._set_right(NO_RIGHT, now)
        ends = [
            loan.expires
            for share in self._shares.values()
            for loan in share.lent.values()
        ]
        return max([0, *(end - now for end in ends)])

    def tick(self, now: float) -> None:
        """Note that this VM runs; call it at least every PAUSE_S / 2."""
        self._check_pause(now)
        self._planned = now

    def _check_pause(self, now: float) -> None:
        if now - self._planned <= PAUSE_S:
            return
        self._planned = now
        self._awake_since = now
        if self._right is NO_RIGHT:
            return
        self._set_right(NO_RIGHT, now)
        if self._log is not None:
            self._log.emit(events.VM_PAUSED)

    def _set_right(self, right: SeatRight, now: float) -> None:
        self._right = right
        for share in self._shares.values():
            share.refresh(now)
            share.right = right
            share.resize(now)

    def _refuse(self, account: str, share: AccountShare) -> Decision:
        reason = OVER_RATE if share.bucket.capacity > 0 else NO_SHARE
        wait_s = share.bucket.wait_s(1.0)
        if math.isinf(wait_s) or share.bucket.capacity < 1:
            wait_s = RETRY_DEFAULT_S
        if self._log is not None:
            self._log.emit(
                events.REQUEST_REFUSED,
                account=account,
                reason=reason,
            )
        return Decision(
            admitted=False,
            retry_after_s=min(wait_s, RETRY_MAX_S),
            reason=reason,
        )
