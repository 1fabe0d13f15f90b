"""Limits on the requests and bytes that a VM moves to another region.

The cap for one direction between two regions is divided equally among the VMs
of the sending region. The shares add up to the cap, so a VM that reaches no
other VM can go on with its own share.
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
    """One VM's share of a cap, in requests and bytes per second."""

    requests_per_s: float
    bytes_per_s: float

    @classmethod
    def of(cls, preset: ShiftPreset, vms: int) -> Self:
        """Return the share of one of the sending region's VMs."""
        return cls(preset.requests_per_s / vms, preset.bytes_per_s / vms)


@attrs.define
class _Window:
    """A sliding-window sum over the last window_s seconds."""

    window_s: float
    _entries: deque[tuple[float, float]] = attrs.field(factory=deque)
    _total: float = 0

    def total(self, now: float) -> float:
        """Return the sum of the amounts within the window."""
        while self._entries and self._entries[0][0] <= now - self.window_s:
            self._total -= self._entries.popleft()[1]
        return self._total

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the time now."""
        self._entries.append((now, amount))
        self._total += amount


class LinkCap:
    """Limits requests and paces bytes from this VM to another region."""

    def __init__(self, share: CapShare, now: float) -> None:
        """Create a cap with an empty window and no tokens for bytes."""
        self._share = share
        # A share below one request per second allows one in a longer window.
        self._window_s = max(WINDOW_S, WINDOW_S / share.requests_per_s)
        self._sent = _Window(self._window_s)
        self._sent_b = _Window(WINDOW_S)
        self._tokens_b = 0
        self._updated_at = now

    @property
    def share(self) -> CapShare:
        """This VM's share of the cap."""
        return self._share

    def admits(self, now: float, fraction: float = 1) -> bool:
        """Return whether a request may be sent now.

        fraction is the usable part of the share during a ramp; at least one
        request per window is always allowed.
        """
        limit = max(1, self._share.requests_per_s * fraction)
        return self._sent.total(now) + 1 <= limit + ROUNDING_TOLERANCE

    def record_request(self, now: float) -> None:
        """Count a request that was allowed by admits()."""
        self._sent.add(1, now)
        limit = self._share.requests_per_s * self._window_s
        verify(
            SHIFT_CAP,
            holds=self._sent.total(now) <= limit + ROUNDING_TOLERANCE,
            detail=f'{self._share.requests_per_s} requests/s',
        )

    def reserve_bytes(self, size_b: int, now: float) -> float:
        """Return the earliest time to send these bytes of a body.

        A piece should be smaller than BURST_FRACTION of the share.
        """
        rate = self._share.bytes_per_s * (1 - BURST_FRACTION)
        burst = self._share.bytes_per_s * BURST_FRACTION
        available_b = self._tokens_b + (now - self._updated_at) * rate
        self._updated_at = now
        self._tokens_b = min(burst, available_b) - size_b
        return now + max(0, -self._tokens_b) / rate

    def record_bytes(self, size_b: int, now: float) -> None:
        """Check the cap for bytes sent at or after their reserved time."""
        self._sent_b.add(size_b, now)
        total = self._sent_b.total(now)
        verify(
            SHIFT_CAP,
            holds=total <= self._share.bytes_per_s * (1 + ROUNDING_TOLERANCE),
            detail=f'{self._share.bytes_per_s} B/s',
        )
