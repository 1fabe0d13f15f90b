"""Trace of a request, from the log lines of several VMs."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from chestnutshift.exceptions import CodedError

# Events of the VM as a whole that may explain how the request ended.
BACKGROUND_EVENTS = frozenset(
    (
        'table.in_force',
        'evacuations.changed',
        'store.lost',
        'store.regained',
        'store.returned',
        'edge.ready_changed',
        'edge.stopping',
        'log.lines_left_out',
        'upstreams.cut_off',
        'upstreams.reached_again',
    ),
)
# Background events from this long before the request's first event count.
BACKGROUND_PERIOD_S = 10.0
_HEADER_FIELDS = frozenset(('at', 'timestamp', 'vm', 'level', 'event', 'name'))


class RequestNotFoundError(CodedError):
    """No log line belongs to the request."""

    code = 'logs.request_not_found'


@attrs.frozen
class RequestTrace:
    """Events of a request and background events of its VMs, in order."""

    request: str
    lines: tuple[dict[str, Any], ...]
    background: tuple[dict[str, Any], ...]

    @property
    def reason(self) -> str:
        """The end of the request, in one sentence.

        It is that at the VM that the caller came to, not at a peer's.
        """
        peers = {
            line['vm']
            for line in self.lines
            if line['name'] == 'request.taken_over'
        }
        for line in reversed(self.lines):
            if line['vm'] in peers:
                continue
            if line['name'] == 'request.turned_down':
                return (
                    f'{line["vm"]} answered {line["status"]} '
                    f'({line["code"]}: {line["detail"]})'
                )
            if line['name'] == 'request.ended':
                return f'{line["vm"]} forwarded status {line["status"]}'
            if line['name'] == 'request.abandoned':
                return 'the caller disconnected before its answer'
            if line['name'] == 'request.aborted':
                return f'the answer was aborted: {line["detail"]}'
        return 'no log line shows how it ended'


def read_lines(texts: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Yield the events of log lines; a prefix before the JSON is skipped.

    Lines that are not events are skipped: logs contain other text too.
    """
    for text in texts:
        start = text.find('{"at"')
        if start < 0:
            continue
        try:
            line = json.loads(text[start:])
        except ValueError:
            # The last line of a VM that was killed may be truncated.
            continue
        if 'name' in line and 'vm' in line:
            yield line


def trace_request(texts: Iterable[str], request: str) -> RequestTrace:
    """Return the trace of a request; raise RequestNotFoundError."""
    events = sorted(read_lines(texts), key=_causal_order)
    lines = tuple(event for event in events if event.get('request') == request)
    if not lines:
        raise RequestNotFoundError(f'no log line belongs to {request}')
    vms = {line['vm'] for line in lines}
    begins_at, ends_at = lines[0]['at'], lines[-1]['at']
    background = tuple(
        event
        for event in events
        if event['name'] in BACKGROUND_EVENTS
        and event['vm'] in vms
        and begins_at - BACKGROUND_PERIOD_S <= event['at'] <= ends_at
    )
    return RequestTrace(request, lines, background)


def format_event(line: dict[str, Any]) -> str:
    """Return an event as a line of text."""
    facts = ' '.join(
        f'{name}={fact}'
        for name, fact in line.items()
        if name not in _HEADER_FIELDS and name != 'request'
    )
    return f'{line["at"]:.3f} {line["vm"]} {line["name"]} {facts}'


def _causal_order(line: dict[str, Any]) -> tuple[int, str]:
    return line.get('timestamp', 0), line['vm']
