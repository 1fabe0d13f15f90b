"""Catalogue of numbered events; docs/reference/events.md mirrors it."""

import logging
from collections.abc import Iterator

import attrs

from chestnutshift.exceptions import CodedError

_CATALOGUE: dict[int, 'EventKind'] = {}


class DuplicateEventError(CodedError):
    """Two kinds of event have the same number."""

    code = 'events.duplicate'


@attrs.frozen
class EventKind:
    """Kind of event: its number, name, meaning and log level."""

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
    """Add a kind of event to the catalogue and return it.

    Raises DuplicateEventError if the number is in use.
    """
    if number in _CATALOGUE:
        raise DuplicateEventError(f'event {number} is defined already')
    kind = EventKind(number, name, meaning, level)
    _CATALOGUE[number] = kind
    return kind


def kinds() -> Iterator[EventKind]:
    """Iterate over all kinds of event in order of their numbers."""
    return iter(_CATALOGUE[number] for number in sorted(_CATALOGUE))
