"""Write docs/reference/events.md from the registered event kinds."""

import importlib
import logging
import pathlib
import pkgutil

import chestnutshift
from chestnutshift.events.catalogue import EventKind, kinds

PAGE = pathlib.Path(__file__).parent.parent / 'docs/reference/events.md'
HEAD = """\
# Numbered events

Every decision leaves one of these events with its cause. `chestnutshift
timeline --number N` shows those of one number over all VMs. An event of level
debug is in the time line, but only in the log when its level is debug. This
page is written by `python -m tools.event_catalogue`; a test compares both.

| number | name | level | meaning |
| --- | --- | --- | --- |
"""


def load_every_kind() -> tuple[EventKind, ...]:
    """Import every events module of the package; return all event kinds."""
    prefix = f'{chestnutshift.__name__}.'
    for module in pkgutil.walk_packages(chestnutshift.__path__, prefix):
        if module.name.endswith('.events') and not module.ispkg:
            importlib.import_module(module.name)
    return tuple(kinds())


def make_page() -> str:
    """Return the page's text, with one table row for each event kind."""
    return HEAD + ''.join(_row(kind) for kind in load_every_kind())


def _row(kind: EventKind) -> str:
    level = logging.getLevelName(kind.level).lower()
    return f'| {kind.number} | {kind.name} | {level} | {kind.meaning} |\n'


def main() -> None:
    """Write the page."""
    PAGE.parent.mkdir(parents=True, exist_ok=True)
    PAGE.write_text(make_page(), encoding='utf-8')


if __name__ == '__main__':
    main()
