"""Cancel what is under way for a key at the moment it is withdrawn."""

from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from typing import Protocol

import attrs

from chestnutshift.keys.exceptions import (
    KeyRefusalError,
    StaleKeysError,
    WithdrawnKeyError,
)
from chestnutshift.keys.withdrawals import Withdrawals


class Cancellable(Protocol):
    """What `trio.CancelScope` offers."""

    def cancel(self) -> None:
        """Cancel everything inside the scope."""


@attrs.define(eq=False)
class Subscription:
    """One request under way; `cause` is set when it was cancelled."""

    digest: str
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

    _withdrawals: Withdrawals
    _subscriptions: dict[str, set[Subscription]] = attrs.field(factory=dict)

    @contextmanager
    def subscribe(
        self,
        digest: str,
        scope: Cancellable,
    ) -> Iterator[Subscription]:
        """Cancel the scope if the key is withdrawn inside the block.

        A key withdrawn between authentication and this call is cancelled
        at once.
        """
        subscription = Subscription(digest, scope)
        self._subscriptions.setdefault(digest, set()).add(subscription)
        if digest in self._withdrawals:
            subscription.cancel(WithdrawnKeyError('this key was withdrawn'))
        try:
            yield subscription
        finally:
            self._remove(subscription)

    def withdrawn(self, digests: Iterable[str]) -> int:
        """Cancel every request of these keys; return how many."""
        cause = WithdrawnKeyError('this key was withdrawn')
        return sum(self._cancel(digest, cause) for digest in digests)

    def stale(self) -> int:
        """Cancel every keyed request, as no key can be trusted any longer."""
        cause = StaleKeysError('this VM cannot learn of withdrawn keys')
        return sum(
            self._cancel(digest, cause) for digest in list(self._subscriptions)
        )

    def _cancel(self, digest: str, cause: KeyRefusalError) -> int:
        subscriptions = self._subscriptions.get(digest, ())
        for subscription in subscriptions:
            subscription.cancel(cause)
        return len(subscriptions)

    def _remove(self, subscription: Subscription) -> None:
        remaining = self._subscriptions[subscription.digest]
        remaining.discard(subscription)
        if not remaining:
            self._subscriptions.pop(subscription.digest)
