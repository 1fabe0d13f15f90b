"""Cancel what is under way for a key at the moment it is withdrawn."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Protocol

import attrs
import trio

from chestnutshift.keys.authentication import Identity, KeyRing
from chestnutshift.keys.exceptions import KeyRefusalError

TRUST_CHECK_INTERVAL_S = 0.25


class Cancellable(Protocol):
    """What `trio.CancelScope` offers."""

    def cancel(self) -> None:
        """Cancel everything inside the scope."""


@attrs.define(eq=False)
class Subscription:
    """One request under way; `cause` is set when it was cancelled."""

    identity: Identity
    scope: Cancellable
    cause: KeyRefusalError | None = None

    def cancel(self, cause: KeyRefusalError) -> None:
        """Cancel the request for this cause, once."""
        if self.cause is None:
            self.cause = cause
            self.scope.cancel()


@attrs.define
class Watch:
    """The requests under way on this VM, by their key's digest."""

    _ring: KeyRing
    _subscriptions: dict[str, set[Subscription]] = attrs.field(factory=dict)

    @contextmanager
    def subscribe(
        self,
        identity: Identity,
        scope: Cancellable,
        now: float,
    ) -> Iterator[Subscription]:
        """Cancel the scope if the key stops working inside the block.

        A key that stopped between its authentication and this call, at the
        time `now`, is cancelled at once.
        """
        subscription = Subscription(identity, scope)
        key_subscriptions = self._subscriptions.setdefault(
            identity.digest, set()
        )
        key_subscriptions.add(subscription)
        self._check(identity.digest, now)
        try:
            yield subscription
        finally:
            self._remove(subscription)

    def ended(self, digests: Iterable[str], now: float) -> int:
        """Cancel the requests of those keys that work no more.

        To be called with what `Withdrawals.add` and `KeyRing.adopt` return.
        Return the number of requests cancelled.
        """
        return sum(self._check(digest, now) for digest in digests)

    def check_all(self, now: float) -> int:
        """Cancel every request whose key can't be trusted any longer."""
        return self.ended(list(self._subscriptions), now)

    async def run(self) -> None:
        """Check the trust in all keys periodically until cancelled."""
        while True:
            await trio.sleep(TRUST_CHECK_INTERVAL_S)
            if trio.current_time() > self._ring.trusted_until:
                self.check_all(trio.current_time())

    def _check(self, digest: str, now: float) -> int:
        cancelled = 0
        for subscription in self._subscriptions.get(digest, ()):
            cause = self._ring.recheck(subscription.identity, now)
            if cause is not None and subscription.cause is None:
                subscription.cancel(cause)
                cancelled += 1
        return cancelled

    def _remove(self, subscription: Subscription) -> None:
        digest = subscription.identity.digest
        remaining = self._subscriptions[digest]
        remaining.discard(subscription)
        if not remaining:
            self._subscriptions.pop(digest)
