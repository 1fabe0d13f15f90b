"""Deferred commands, which run only after the whole command line is parsed.

fire calls a command before it parses the arguments after it, so it would
report a misspelled --dry_run only after the change had been made.
"""

import functools
import inspect
from collections.abc import Callable
from typing import TypeVar

import attrs

Group = TypeVar('Group')


@attrs.frozen
class Action:
    """Command with its arguments, to be run later; fire cannot call it."""

    _run: Callable[[], None]


def run_action(action: object) -> None:
    """Run the action; ignore other results, which fire has printed."""
    if isinstance(action, Action):
        action._run()  # noqa: SLF001


def serialize_result(action: object) -> object:
    """Return the output for fire: None for actions, else the result itself."""
    return None if isinstance(action, Action) else action


def deferred(group: type[Group]) -> type[Group]:
    """Make every public method of the class return an Action."""
    for name, method in inspect.getmembers(group, inspect.isfunction):
        if not name.startswith('_'):
            setattr(group, name, _deferred_method(method))
    return group


def _deferred_method(method: Callable[..., None]) -> Callable[..., Action]:
    @functools.wraps(method)
    def make_action(*arguments: object, **flags: object) -> Action:
        return Action(functools.partial(method, *arguments, **flags))

    return make_action
