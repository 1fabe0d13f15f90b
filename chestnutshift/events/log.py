"""Log of numbered events; the newest are kept for the timeline."""

import json
import logging
import time
from collections import deque
from collections.abc import Iterable

import attrs

from chestnutshift.events.catalogue import EventKind
from chestnutshift.events.clock import HybridClock

KEPT_EVENTS = 20000

logger = logging.getLogger('chestnutshift')


@attrs.frozen
class Event:
    """Event of a VM, as the timeline shows it."""

    timestamp: int
    vm: str
    number: int
    name: str
    request: str = ''
    account: str = ''
    upstream: str = ''
    facts: dict[str, object] = attrs.field(factory=dict)

    def as_json(self) -> str:
        """Return the event as one line of JSON."""
        return json.dumps(attrs.asdict(self), sort_keys=True, default=str)

    def as_line(self, wall_s: float, level: str) -> str:
        """Return the event as a JSON log line without empty fields."""
        fields = {
            'at': round(wall_s, 3),
            'timestamp': self.timestamp,
            'vm': self.vm,
            'level': level,
            'event': self.number,
            'name': self.name,
            'request': self.request,
            'account': self.account,
            'upstream': self.upstream,
        }
        line = {name: part for name, part in fields.items() if part != ''}
        line.update(self.facts)
        return json.dumps(line, default=str)


@attrs.frozen
class EventFilter:
    """Filter of a timeline query; an empty field matches all events."""

    request: str = ''
    account: str = ''
    upstream: str = ''
    number: int = 0
    since: int = 0

    def matches(self, event: Event) -> bool:
        """Return whether the event matches the filter."""
        conditions = (
            (self.request, event.request),
            (self.account, event.account),
            (self.upstream, event.upstream),
            (self.number, event.number),
        )
        if event.timestamp < self.since:
            return False
        return all(
            not expected or expected == actual
            for expected, actual in conditions
        )


class EventLog:
    """Event log of a VM; it also keeps the newest events in memory."""

    def __init__(
        self,
        vm: str,
        clock: HybridClock | None = None,
        kept: int = KEPT_EVENTS,
    ) -> None:
        """Create an empty log for the VM; kept is the number of events kept."""
        self._vm = vm
        self._clock = clock or HybridClock()
        self._events: deque[Event] = deque(maxlen=kept)

    @property
    def clock(self) -> HybridClock:
        """The clock of the events and of messages to other VMs."""
        return self._clock

    def emit(
        self,
        kind: EventKind,
        /,
        request: str = '',
        account: str = '',
        upstream: str = '',
        **facts: object,
    ) -> None:
        """Keep an event in memory and log it; facts are its further fields."""
        event = Event(
            timestamp=self._clock.tick(time.time()),
            vm=self._vm,
            number=kind.number,
            name=kind.name,
            request=request,
            account=account,
            upstream=upstream,
            facts=facts,
        )
        self._events.append(event)
        if logger.isEnabledFor(kind.level):
            logger.log(kind.level, '%s', event.name, extra={'event': event})

    def select(self, event_filter: EventFilter) -> list[Event]:
        """Return the kept events that match, oldest first."""
        return [event for event in self._events if event_filter.matches(event)]


def merge(batches: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several VMs in causal order."""
    events = [event for batch in batches for event in batch]
    return sorted(events, key=lambda event: (event.timestamp, event.vm))
