"""Named behaviours that decorators add and settings choose."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from chestnutshift.exceptions import CodedError

Entry = TypeVar('Entry')


class UnknownEntryError(CodedError):
    """The registry holds no entry of that name."""

    code = 'registry.unknown'


class DuplicateEntryError(CodedError):
    """Two entries asked for one name."""

    code = 'registry.duplicate'


class Registry(Generic[Entry]):
    """Map names to entries; each entry is added by a decorator."""

    def __init__(self, kind: str) -> None:
        """Name the kind of entry, for error messages."""
        self._kind = kind
        self._entries: dict[str, Entry] = {}

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names in alphabetical order."""
        return iter(sorted(self._entries))

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that adds its target under the name."""
        if name in self._entries:
            raise DuplicateEntryError(f'{self._kind} {name!r} exists already')

        def decorator(entry: Entry) -> Entry:
            self._entries[name] = entry
            return entry

        return decorator

    def get(self, name: str) -> Entry:
        """Return the entry; raise UnknownEntryError if there is none."""
        if name not in self._entries:
            known = ', '.join(self)
            raise UnknownEntryError(
                f'no {self._kind} {name!r}; there are: {known}',
            )
        return self._entries[name]
