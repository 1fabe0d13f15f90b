"""Answers to look-ups as the documents that callers get."""

import attrs

from chestnutshift.lookup.answers import LookupAnswer
from chestnutshift.lookup.ranking import EntryVM


@attrs.frozen
class NamedVm:
    """One entry VM as a look-up names it."""

    vm: str
    region: str
    failure_domain: str
    url: str


def describe_entry(entry: EntryVM) -> dict[str, str]:
    """Return an entry VM as a document."""
    named = NamedVm(entry.name, entry.region, entry.failure_domain, entry.url)
    return attrs.asdict(named)


def describe_answer(answer: LookupAnswer) -> dict[str, object]:
    """Return the answer to a look-up as a document."""
    return {
        'lifetime_s': answer.lifetime_s,
        'entries': [describe_entry(entry) for entry in answer.entries],
    }
