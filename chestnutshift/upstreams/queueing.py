"""Bounded queue of one service's requests at one VM.

A request that cannot start and end before its deadline is refused at once,
before it has run. The retry-after of the refusal is the time in which the
backlog is expected to be served.
"""

import math
from collections import deque

import attrs

from chestnutshift.retries.backoff import retry_after_s
from chestnutshift.upstreams.exceptions import (
    DeadlineTooNearError,
    QueueFullError,
)

QUEUE_LENGTH_MAX = 64
DURATION_WEIGHT = 0.05
DURATION_START_S = 0.05


@attrs.frozen(eq=False)
class QueuedRequest:
    """A request queued for a slot; deadline_at is on this VM's clock."""

    request: str
    account: str
    deadline_at: float


class ServiceQueue:
    """Fair queue: FIFO within an account, round-robin over accounts."""

    def __init__(
        self,
        service: str,
        length_max: int = QUEUE_LENGTH_MAX,
    ) -> None:
        """Create an empty queue for at most length_max requests."""
        self._service = service
        self._length_max = length_max
        self._accounts: dict[str, deque[QueuedRequest]] = {}
        self._length = 0
        self._duration_s = DURATION_START_S

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return self._length

    @property
    def duration_s(self) -> float:
        """The moving average of how long a request holds its slot."""
        return self._duration_s

    def record_duration(self, duration_s: float) -> None:
        """Update the average with the time that a request held its slot."""
        self._duration_s += DURATION_WEIGHT * (duration_s - self._duration_s)

    def offer(
        self,
        request: QueuedRequest,
        slots: int,
        now: float,
    ) -> QueuedRequest | None:
        """Queue a request and return the one evicted for it, if any.

        slots counts those that the VM may use for the service. Raises
        DeadlineTooNearError or QueueFullError if the request is refused. The
        caller must refuse an evicted request with QueueFullError.
        """
        wait_s = self.wait_s(request.account, slots)
        if not self._ends_in_time(request, now + wait_s):
            raise DeadlineTooNearError(
                f'{self._service}: {wait_s:.3f} s wait would miss the deadline',
                self.retry_after_s(slots),
            )
        evicted = self._make_room(request.account, slots)
        self._accounts.setdefault(request.account, deque()).append(request)
        self._length += 1
        return evicted

    def take(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request that can end in time.

        Requests whose deadline is too near are left for expired().
        """
        for account, requests in tuple(self._accounts.items()):
            request = self._first_in_time(requests, now)
            if request is None:
                continue
            # Round-robin: the account moves behind the others.
            self._accounts.pop(account)
            self._accounts[account] = requests
            self._remove(request)
            return request
        return None

    def remove_expired(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer end in time."""
        late = [
            request
            for requests in self._accounts.values()
            for request in requests
            if not self._ends_in_time(request, now)
        ]
        for request in late:
            self._remove(request)
        return late

    def cancel(self, request: QueuedRequest) -> bool:
        """Remove a disconnected caller's request; False if it is not queued."""
        if request not in self._accounts.get(request.account, ()):
            return False
        self._remove(request)
        return True

    def wait_s(self, account: str, slots: int) -> float:
        """Return the expected wait of the account's next request."""
        if slots <= 0:
            return math.inf
        return self._count_ahead_of(account) * self._duration_s / slots

    def retry_after_s(self, slots: int) -> float:
        """Return after how many seconds a refused caller should retry."""
        return retry_after_s(self._length + 1, slots / self._duration_s)

    def _ends_in_time(self, request: QueuedRequest, start_at: float) -> bool:
        return start_at + self._duration_s <= request.deadline_at

    def _first_in_time(
        self,
        requests: deque[QueuedRequest],
        now: float,
    ) -> QueuedRequest | None:
        for request in requests:
            if self._ends_in_time(request, now):
                return request
        return None

    def _count_ahead_of(self, account: str) -> int:
        """Count the requests that are served before the account's next."""
        queued_count = len(self._accounts.get(account, ()))
        return sum(
            queued_count
            if name == account
            else min(len(requests), queued_count + 1)
            for name, requests in self._accounts.items()
        )

    def _make_room(self, account: str, slots: int) -> QueuedRequest | None:
        """If full, evict the newest request of the account with the most."""
        if self._length < self._length_max:
            return None
        largest = max(self._accounts.values(), key=len)
        if len(largest) <= len(self._accounts.get(account, ())) + 1:
            raise QueueFullError(
                f'{self._service}: queue full with {self._length} requests',
                self.retry_after_s(slots),
            )
        evicted = largest[-1]
        self._remove(evicted)
        return evicted

    def _remove(self, request: QueuedRequest) -> None:
        requests = self._accounts[request.account]
        requests.remove(request)
        self._length -= 1
        if not requests:
            self._accounts.pop(request.account)
