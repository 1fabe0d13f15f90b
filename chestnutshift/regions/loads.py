"""Load reports of other VMs, used to find free slots."""

import attrs

from chestnutshift.regions.model import VmLoad

# A VM that refused a request is not chosen again for this time.
REFUSAL_BACKOFF_S = 0.05


@attrs.define
class _Entry:
    load: VmLoad
    moves_started_at: list[float] = attrs.field(factory=list)
    refused_until: float = 0

    @property
    def used(self) -> int:
        """Slots in use: those reported and those of moves since the report."""
        measured_at = self.load.measured_at
        moves = sum(started > measured_at for started in self.moves_started_at)
        return self.load.in_use + moves


class LoadTable:
    """The last report of each VM, with the requests moved there since."""

    def __init__(self, report_age_s: float) -> None:
        """Create a table that ignores reports older than report_age_s."""
        self._report_age_s = report_age_s
        self._entries: dict[tuple[str, str], _Entry] = {}

    def record(self, load: VmLoad) -> None:
        """Record a report, unless a newer one is known."""
        key = (load.place.vm, load.service)
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = _Entry(load)
        elif load.measured_at >= entry.load.measured_at:
            entry.load = load

    def forget(self, vm: str) -> None:
        """Drop the reports of a VM that left or no longer answers."""
        for key in tuple(self._entries):
            if key[0] == vm:
                self._entries.pop(key)

    def record_move(self, vm: str, service: str, now: float) -> None:
        """Count a request that is being moved to the VM."""
        entry = self._entries.get((vm, service))
        if entry:
            entry.moves_started_at.append(now)

    def record_end(self, vm: str, service: str, started_at: float) -> None:
        """Stop counting a request that was moved at started_at."""
        entry = self._entries.get((vm, service))
        if entry and started_at in entry.moves_started_at:
            entry.moves_started_at.remove(started_at)

    def record_refusal(self, vm: str, service: str, now: float) -> None:
        """Exclude a VM that refused a request for REFUSAL_BACKOFF_S."""
        entry = self._entries.get((vm, service))
        if entry:
            entry.refused_until = now + REFUSAL_BACKOFF_S

    def usable(self, service: str, now: float) -> dict[VmLoad, int]:
        """Return the fresh reports of VMs not in backoff, with slots in use.

        The slots in use include requests moved there since the report.
        """
        return {
            entry.load: entry.used
            for entry in self._fresh(service, now)
            if now >= entry.refused_until
        }

    def region_load(
        self,
        region: str,
        service: str,
        now: float,
    ) -> float | None:
        """Return the used fraction of a region's slots, or None if unknown."""
        entries = [
            entry
            for entry in self._fresh(service, now)
            if entry.load.place.region == region
        ]
        slots = sum(entry.load.slots for entry in entries)
        if not slots:
            return None
        return sum(entry.used for entry in entries) / slots

    def _fresh(self, service: str, now: float) -> list[_Entry]:
        oldest = now - self._report_age_s
        return [
            entry
            for entry in self._entries.values()
            if entry.load.service == service
            and entry.load.measured_at >= oldest
        ]
