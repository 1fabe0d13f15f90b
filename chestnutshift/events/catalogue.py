"""The catalogue of numbered events; docs/reference/events.md mirrors it."""

import logging
from collections.abc import Iterator

import attrs

from chestnutshift.exceptions import CodedError

_CATALOGUE: dict[int, 'EventKind'] = {}


class DuplicateEventError(CodedError):
    """Two kinds of event asked for one number."""

    code = 'events.duplicate'


@attrs.frozen
class EventKind:
    """One kind of event: its number, its name and what it says."""

    number: int
    name: str
    meaning: str
    level: int = logging.INFO


def define(
    number: int,
    name: str,
    meaning: str,
    level: int = logging.INFO,
) -> EventKind:
    """Add a kind of event to the catalogue and return it."""
    if number in _CATALOGUE:
        raise DuplicateEventError(f'event {number} is defined already')
    kind = EventKind(number, name, meaning, level)
    _CATALOGUE[number] = kind
    return kind


def kinds() -> Iterator[EventKind]:
    """Iterate over all kinds of event by number."""
    return iter(_CATALOGUE[number] for number in sorted(_CATALOGUE))
