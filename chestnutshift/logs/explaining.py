"""Tell the story of one request from the log lines of several VMs."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from chestnutshift.exceptions import CodedError

# Events of the VM, not of the request, that explain how it ended.
BACKGROUND = frozenset(
    (
        'table.in_force',
        'evacuations.changed',
        'store.lost',
        'store.regained',
        'edge.ready_changed',
        'edge.stopping',
        'log.lines_left_out',
    ),
)
# The background counts for so long before the request's first event.
BACKGROUND_S = 10.0
_SHOWN_APART = frozenset(('at', 'timestamp', 'vm', 'level', 'event', 'name'))


class RequestNotFoundError(CodedError):
    """No line of the logs names the request."""

    code = 'logs.request_not_found'


@attrs.frozen
class Story:
    """The lines of a request, and what its VMs did just before, in order."""

    request: str
    lines: tuple[dict[str, Any], ...]
    background: tuple[dict[str, Any], ...]

    @property
    def reason(self) -> str:
        """How it ended, in one sentence."""
        for line in reversed(self.lines):
            if line['name'] == 'request.turned_down':
                return (
                    f'{line["vm"]} answered {line["status"]} '
                    f'({line["code"]}: {line["detail"]})'
                )
            if line['name'] == 'request.ended':
                return f'{line["vm"]} passed on status {line["status"]}'
            if line['name'] == 'request.abandoned':
                return 'the caller closed before its answer'
            if line['name'] == 'request.aborted':
                return f'the answer broke off: {line["detail"]}'
        return 'no line tells how it ended'


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events of log lines; what stands before the JSON is skipped.

    Lines that are no events are left out: logs hold other text as well.
    """
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The last line of a VM that was killed may be cut.
            continue
        if 'name' in line and 'vm' in line:
            yield line


def explain(texts: Iterable[str], request: str) -> Story:
    """Return the story of a request; raise RequestNotFoundError."""
    events = sorted(read_lines(texts), key=_moment)
    lines = tuple(one for one in events if one.get('request') == request)
    if not lines:
        raise RequestNotFoundError(f'no line names {request}')
    vms = {line['vm'] for line in lines}
    begins_at, ends_at = lines[0]['at'], lines[-1]['at']
    background = tuple(
        one
        for one in events
        if one['name'] in BACKGROUND
        and one['vm'] in vms
        and begins_at - BACKGROUND_S <= one['at'] <= ends_at
    )
    return Story(request, lines, background)


def describe(line: dict[str, Any]) -> str:
    """Return an event as a line for people."""
    facts = ' '.join(
        f'{name}={fact}'
        for name, fact in line.items()
        if name not in _SHOWN_APART and name != 'request'
    )
    return f'{line["at"]:.3f} {line["vm"]} {line["name"]} {facts}'


def _moment(line: dict[str, Any]) -> tuple[int, str]:
    return line.get('timestamp', 0), line['vm']
