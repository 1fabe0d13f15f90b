"""The cap on work that one VM moves to another region.

The cap of a pair of regions and a direction is divided over the VMs of the
sending region. The parts add up to the cap, so that a VM that hears nobody
can go on with its part.
"""

from collections import deque
from typing import Self

import attrs

from chestnutshift.configuration.model import ShiftPreset
from chestnutshift.invariants.registry import SHIFT_CAP, verify

WINDOW_S = 1.0
BURST_FRACTION = 0.1
ROUNDING_TOLERANCE = 1e-6


@attrs.frozen
class CapShare:
    """One VM's part of a cap, in requests and bytes per second."""

    requests_per_s: float
    bytes_per_s: float

    @classmethod
    def of(cls, preset: ShiftPreset, vms: int) -> Self:
        """Return the part of one of the sending region's VMs."""
        return cls(preset.requests_per_s / vms, preset.bytes_per_s / vms)


@attrs.define
class _Window:
    """The amounts of the last window_s seconds."""

    window_s: float
    _entries: deque[tuple[float, float]] = attrs.field(factory=deque)
    _total: float = 0

    def total(self, now: float) -> float:
        """Return the sum of the amounts within the window."""
        while self._entries and self._entries[0][0] <= now - self.window_s:
            self._total -= self._entries.popleft()[1]
        return self._total

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._entries.append((now, amount))
        self._total += amount


class LinkCap:
    """Admit requests and pace bytes from this VM to one other region."""

    def __init__(self, share: CapShare, now: float) -> None:
        """Start with nothing sent and nothing saved up."""
        self._share = share
        # A share below one request a second has one in a longer window.
        self._window_s = max(WINDOW_S, WINDOW_S / share.requests_per_s)
        self._sent = _Window(self._window_s)
        self._sent_b = _Window(WINDOW_S)
        self._tokens_b = 0
        self._updated_at = now

    @property
    def share(self) -> CapShare:
        """This VM's part of the cap."""
        return self._share

    def admits(self, now: float, fraction: float = 1) -> bool:
        """Tell whether a request may go now.

        fraction is the part of the share that a ramp leaves; it always
        leaves one request in a window.
        """
        limit = max(1, self._share.requests_per_s * fraction)
        return self._sent.total(now) + 1 <= limit + ROUNDING_TOLERANCE

    def record_request(self, now: float) -> None:
        """Count a request that admits() allowed."""
        self._sent.add(1, now)
        limit = self._share.requests_per_s * self._window_s
        verify(
            SHIFT_CAP,
            holds=self._sent.total(now) <= limit + ROUNDING_TOLERANCE,
            detail=f'{self._share.requests_per_s} requests/s',
        )

    def reserve_bytes(self, size_b: int, now: float) -> float:
        """Return the time from which these bytes of a body may be sent.

        A piece should be smaller than a tenth of the share.
        """
        rate = self._share.bytes_per_s * (1 - BURST_FRACTION)
        burst = self._share.bytes_per_s * BURST_FRACTION
        available_b = self._tokens_b + (now - self._updated_at) * rate
        self._updated_at = now
        self._tokens_b = min(burst, available_b) - size_b
        return now + max(0, -self._tokens_b) / rate

    def record_bytes(self, size_b: int, now: float) -> None:
        """Check bytes that are sent at or after the reserved time."""
        self._sent_b.add(size_b, now)
        total = self._sent_b.total(now)
        verify(
            SHIFT_CAP,
            holds=total <= self._share.bytes_per_s * (1 + ROUNDING_TOLERANCE),
            detail=f'{self._share.bytes_per_s} B/s',
        )
