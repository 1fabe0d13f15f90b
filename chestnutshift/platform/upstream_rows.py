"""Decoding of the rows by which upstreams register themselves."""

from collections.abc import Mapping
from ipaddress import ip_address
from typing import Any

from chestnutshift.decimals import read_digits
from chestnutshift.platform.durations import read_duration
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.fields import (
    check_header_text,
    integer_of,
    object_of,
    read_as,
    read_document,
    required_text,
)
from chestnutshift.steering.upstreams import Registration

PORT_MAX = 65_535
SLOTS_MAX = 100_000
# The longest time for which an upstream may say that it stays cold.
COLD_MAX_S = 86_400.0
_IS_LEAVING = {'ready': False, 'draining': True}


def decode_registration(upstream: str, content: bytes) -> Registration:
    """Decode the registration of an upstream; raise MalformedError."""
    check_header_text('the id', upstream)
    document = read_document(content)
    info = object_of(document, 'info')
    status = object_of(document, 'status')
    state = required_text(status, 'state')
    if state not in _IS_LEAVING:
        raise MalformedError(f'unknown state {state!r}')
    address, port = read_address(document)
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
        cold_for_s=_cold_for_s(status),
    )


def _cold_for_s(status: Mapping[str, Any]) -> float:
    text = status.get('cold_left')
    cold_for_s = 0 if text is None else read_duration(text, 'cold_left')
    if cold_for_s > COLD_MAX_S:
        raise MalformedError(f'cold_left is out of range: {text}')
    return cold_for_s


def _slots(info: Mapping[str, Any]) -> int:
    slots = integer_of(info, 'slots', maximum=SLOTS_MAX)
    if not slots:
        raise MalformedError('slots is missing or 0')
    return slots


def read_address(document: Mapping[str, Any]) -> tuple[str, int]:
    """Return the IP address and port in the field `addr`."""
    text = required_text(document, 'addr')
    return split_address(text)


def split_address(text: str) -> tuple[str, int]:
    """Split IP:port into its parts; raise MalformedError."""
    address, _, digits = text.rpartition(':')
    try:
        ip_address(address)
    except ValueError as error:
        raise MalformedError(f'{address!r} is not an IP address') from error
    return address, read_as('the port', read_digits, digits, PORT_MAX)
