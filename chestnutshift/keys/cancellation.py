"""Cancellation of requests in flight when their key becomes invalid."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Protocol

import attrs
import trio

from chestnutshift.keys.authentication import Identity, KeyRing
from chestnutshift.keys.exceptions import KeyRefusalError

TRUST_CHECK_INTERVAL_S = 0.25


class Cancellable(Protocol):
    """The part of trio.CancelScope that a subscription uses."""

    def cancel(self) -> None:
        """Cancel everything inside the scope."""


@attrs.define(eq=False)
class Subscription:
    """A request in flight; `cause` is set once it is cancelled."""

    identity: Identity
    scope: Cancellable
    cause: KeyRefusalError | None = None

    def cancel(self, cause: KeyRefusalError) -> None:
        """Cancel the request; has no effect after the first call."""
        if self.cause is None:
            self.cause = cause
            self.scope.cancel()


@attrs.define
class RequestCanceller:
    """Cancels this VM's requests in flight whose key becomes invalid.

    Requests are kept by their key's digest.
    """

    _ring: KeyRing
    _subscriptions: dict[str, set[Subscription]] = attrs.field(factory=dict)

    @contextmanager
    def subscribe(
        self,
        identity: Identity,
        scope: Cancellable,
        now: float,
    ) -> Iterator[Subscription]:
        """Cancel the scope if the key becomes invalid within the block.

        If it became invalid between its authentication and this call, which
        is at the time `now`, the scope is cancelled at once.
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

    def cancel_invalid(self, digests: Iterable[str], now: float) -> int:
        """Cancel the requests whose keys are no longer valid.

        To be called with the digests that `Withdrawals.add` and
        `KeyRing.adopt` return. Returns the number of requests cancelled.
        """
        return sum(self._check(digest, now) for digest in digests)

    def check_all(self, now: float) -> int:
        """Cancel all requests whose key can no longer be trusted."""
        return self.cancel_invalid(list(self._subscriptions), now)

    async def run(self) -> None:
        """Check periodically whether keys are trusted, until cancelled."""
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
