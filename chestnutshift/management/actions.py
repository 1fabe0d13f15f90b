"""Commands that run only once the whole command line was understood.

fire runs a command before it looks at the words that follow: a misspelled
--dry_run would be reported after the change was made.
"""

import functools
import inspect
from collections.abc import Callable
from typing import TypeVar

import attrs

Group = TypeVar('Group')


@attrs.frozen
class Action:
    """A command with its words, to be run later; not callable by fire."""

    _run: Callable[[], None]


def perform(action: object) -> None:
    """Run the action; do nothing for what fire has shown itself."""
    if isinstance(action, Action):
        action._run()  # noqa: SLF001


def postpone(action: object) -> object:
    """Return what fire prints: nothing for actions, all else as it is."""
    return None if isinstance(action, Action) else action


def postponed(group: type[Group]) -> type[Group]:
    """Make every public method of the class return an Action."""
    for name, method in inspect.getmembers(group, inspect.isfunction):
        if not name.startswith('_'):
            setattr(group, name, _postponed_method(method))
    return group


def _postponed_method(method: Callable[..., None]) -> Callable[..., Action]:
    @functools.wraps(method)
    def postponing(*words: object, **flags: object) -> Action:
        return Action(functools.partial(method, *words, **flags))

    return postponing
