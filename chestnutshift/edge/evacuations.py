"""The operator's evacuations of failure domains."""

import math

import attrs

from chestnutshift.edge.store_tables import Evacuation


@attrs.define
class Evacuations:
    """Evacuations by the keys of their rows.

    Those that an older copy of the store lacks are held in force for a while:
    the operator asks for them again, or takes them back.
    """

    _requested: dict[str, Evacuation] = attrs.field(factory=dict)
    _held: dict[str, Evacuation] = attrs.field(factory=dict)
    _held_until: float = -math.inf

    @property
    def domains(self) -> frozenset[str]:
        """The failure domains whose upstreams must receive no requests."""
        return frozenset(
            evacuation.failure_domain
            for evacuation in (self._held | self._requested).values()
        )

    def hold(self, until: float) -> None:
        """Keep those in force until then, unless rows say otherwise."""
        self._held |= self._requested
        self._held_until = until

    def clear_requested(self) -> None:
        """Remove all that are not held, before a view of all rows."""
        self._requested.clear()

    def update(self, key: str, evacuation: Evacuation | None) -> None:
        """Apply the row of that key, None if there is none any more."""
        self._held.pop(key, None)
        if evacuation is None:
            self._requested.pop(key, None)
        else:
            self._requested[key] = evacuation

    def end_held(self, now: float) -> None:
        """Remove those that were held for long enough."""
        if now >= self._held_until:
            self._held.clear()
