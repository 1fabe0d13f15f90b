"""Decoding of the rows by which upstreams register themselves."""

from collections.abc import Mapping
from typing import Any

from chestnutshift.platform.durations import read_duration
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.fields import (
    integer_of,
    object_of,
    read_document,
    required_text,
)
from chestnutshift.steering.upstreams import Registration

PORT_MAX = 65_535
_IS_LEAVING = {'ready': False, 'draining': True}


def decode_registration(upstream: str, content: bytes) -> Registration:
    """Decode the registration of an upstream; raise MalformedError."""
    document = read_document(content)
    info = object_of(document, 'info')
    status = object_of(document, 'status')
    state = required_text(status, 'state')
    if state not in _IS_LEAVING:
        raise MalformedError(f'unknown state {state!r}')
    address, port = read_address(document)
    cold_left = status.get('cold_left')
    return Registration(
        upstream=upstream,
        # Unix time of the start in milliseconds; a restart loses all state of
        # the process.
        started_at_ms=integer_of(document, 'born'),
        service=required_text(info, 'service'),
        address=address,
        port=port,
        failure_domain=required_text(info, 'zone'),
        slots=_slots(info),
        sequence=integer_of(status, 'seq'),
        is_leaving=_IS_LEAVING[state],
        cold_for_s=0 if cold_left is None else read_duration(cold_left),
    )


def _slots(info: Mapping[str, Any]) -> int:
    slots = integer_of(info, 'slots')
    if not slots:
        raise MalformedError('slots is missing or 0')
    return slots


def read_address(document: Mapping[str, Any]) -> tuple[str, int]:
    """Return the IP address and port in the field `addr`."""
    text = required_text(document, 'addr')
    return split_address(text)


def split_address(text: str) -> tuple[str, int]:
    """Split IP:port into its parts; raise MalformedError."""
    address, _, port = text.rpartition(':')
    if not address or not port.isdecimal() or int(port) > PORT_MAX:
        raise MalformedError(f'{text!r} is not an address and port')
    return address, int(port)
