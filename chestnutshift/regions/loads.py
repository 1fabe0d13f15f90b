"""What a VM knows of the free slots elsewhere."""

import attrs

from chestnutshift.regions.model import VmLoad

REFUSAL_BACKOFF_S = 0.05


@attrs.define
class _Entry:
    load: VmLoad
    moves_started_at: list[float] = attrs.field(factory=list)
    refused_until: float = 0

    @property
    def used(self) -> int:
        """The reported slots, and those of requests moved there since."""
        measured_at = self.load.measured_at
        since = sum(started > measured_at for started in self.moves_started_at)
        return self.load.in_use + since


class LoadTable:
    """The last reports of other VMs, with what was moved there since."""

    def __init__(self, report_age_s: float) -> None:
        """Believe no report that is older than report_age_s."""
        self._report_age_s = report_age_s
        self._entries: dict[tuple[str, str], _Entry] = {}

    def record(self, load: VmLoad) -> None:
        """Take a report, unless a newer one is known."""
        key = (load.place.vm, load.service)
        entry = self._entries.get(key)
        if entry is None:
            self._entries[key] = _Entry(load)
        elif load.measured_at >= entry.load.measured_at:
            entry.load = load

    def forget(self, vm: str) -> None:
        """Drop the reports of a VM that left."""
        for key in tuple(self._entries):
            if key[0] == vm:
                self._entries.pop(key)

    def record_move(self, vm: str, service: str, now: float) -> None:
        """Count a request that is moved to the VM."""
        entry = self._entries.get((vm, service))
        if entry:
            entry.moves_started_at.append(now)

    def record_end(self, vm: str, service: str, started_at: float) -> None:
        """Count a request no more that was moved at started_at."""
        entry = self._entries.get((vm, service))
        if entry and started_at in entry.moves_started_at:
            entry.moves_started_at.remove(started_at)

    def record_refusal(self, vm: str, service: str, now: float) -> None:
        """Leave a VM alone for a while that refused work from here."""
        entry = self._entries.get((vm, service))
        if entry:
            entry.refused_until = now + REFUSAL_BACKOFF_S

    def usable(self, service: str, now: float) -> dict[VmLoad, int]:
        """Return the reports of VMs that did not just refuse, with their use.

        The slots in use count what was moved there since the report.
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
        """Return the used fraction of a region's slots, None if unknown."""
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
