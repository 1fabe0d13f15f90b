"""JSON documents of look-up answers."""

import attrs

from chestnutshift.lookup.answers import LookupAnswer
from chestnutshift.lookup.ranking import EntryVM


@attrs.frozen
class NamedVm:
    """The fields of an entry VM in a look-up answer."""

    vm: str
    region: str
    failure_domain: str
    url: str


def describe_entry(entry: EntryVM) -> dict[str, str]:
    """Return an entry VM as a JSON object."""
    named = NamedVm(entry.name, entry.region, entry.failure_domain, entry.url)
    return attrs.asdict(named)


def describe_answer(answer: LookupAnswer) -> dict[str, object]:
    """Return a look-up answer as a JSON object."""
    return {
        'lifetime_s': answer.lifetime_s,
        'entries': [describe_entry(entry) for entry in answer.entries],
    }
