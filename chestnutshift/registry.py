"""Registry of named entries, such as implementations and checks."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from chestnutshift.exceptions import CodedError

Entry = TypeVar('Entry')


class UnknownEntryError(CodedError):
    """The registry has no entry of this name."""

    code = 'registry.unknown'


class DuplicateEntryError(CodedError):
    """The name is already registered."""

    code = 'registry.duplicate'


class Registry(Generic[Entry]):
    """Mapping of names to entries, which are added by a decorator."""

    def __init__(self, kind: str) -> None:
        """Create an empty registry; error messages mention the kind."""
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
