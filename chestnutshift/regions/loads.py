"""What a VM knows of the free slots elsewhere."""

import attrs

from chestnutshift.regions.model import VmLoad

REFUSED_WAIT_S = 0.25


@attrs.define
class _Known:
    load: VmLoad
    started_at: list[float] = attrs.field(factory=list)
    refused_until: float = 0

    @property
    def used(self) -> int:
        """The reported slots, and those of requests moved there since."""
        measured_at = self.load.measured_at
        since = sum(started > measured_at for started in self.started_at)
        return self.load.in_use + since


class LoadTable:
    """The last reports of other VMs, with what was moved there since."""

    def __init__(self, report_age_s: float) -> None:
        """Believe no report that is older than report_age_s."""
        self._report_age_s = report_age_s
        self._known: dict[tuple[str, str], _Known] = {}

    def record(self, load: VmLoad) -> None:
        """Take a report, unless a newer one is known."""
        key = (load.place.vm, load.service)
        known = self._known.get(key)
        if known is None:
            self._known[key] = _Known(load)
        elif load.measured_at >= known.load.measured_at:
            known.load = load

    def forget(self, vm: str) -> None:
        """Drop the reports of a VM that left."""
        for key in tuple(self._known):
            if key[0] == vm:
                self._known.pop(key)

    def record_move(self, vm: str, service: str, now: float) -> None:
        """Count a request that is moved to the VM."""
        known = self._known.get((vm, service))
        if known:
            known.started_at.append(now)

    def record_end(self, vm: str, service: str, started_at: float) -> None:
        """Count a request no more that was moved at started_at."""
        known = self._known.get((vm, service))
        if known and started_at in known.started_at:
            known.started_at.remove(started_at)

    def record_refusal(self, vm: str, service: str, now: float) -> None:
        """Leave a VM alone for a while that refused work from here."""
        known = self._known.get((vm, service))
        if known:
            known.refused_until = now + REFUSED_WAIT_S

    def usable(self, service: str, now: float) -> dict[VmLoad, int]:
        """Return the reports of VMs that did not just refuse, with their use.

        The slots in use count what was moved there since the report.
        """
        return {
            known.load: known.used
            for known in self._fresh(service, now)
            if now >= known.refused_until
        }

    def region_load(
        self,
        region: str,
        service: str,
        now: float,
    ) -> float | None:
        """Return the used fraction of a region's slots, None if unknown."""
        found = [
            known
            for known in self._fresh(service, now)
            if known.load.place.region == region
        ]
        slots = sum(known.load.slots for known in found)
        if not slots:
            return None
        return sum(known.used for known in found) / slots

    def _fresh(self, service: str, now: float) -> list[_Known]:
        oldest = now - self._report_age_s
        return [
            known
            for known in self._known.values()
            if known.load.service == service
            and known.load.measured_at >= oldest
        ]
