"""Conversion of loan messages to Thrift structs and back.

A struct has the fields of its message class, so fields are mapped by name;
nested messages and lists are mapped recursively.
"""

from typing import Any, TypeVar

import attrs

from chestnutshift.accounts.loans import LoanGrant, LoanRequest
from chestnutshift.exceptions import CodedError
from chestnutshift.upstreams import loans as slot_loans
from chestnutshift.wire.generated.links import ttypes

Message = TypeVar('Message')

_STRUCTS: dict[type, type] = {
    LoanRequest: ttypes.RateRequest,
    LoanGrant: ttypes.RateGrant,
    slot_loans.SlotRequest: ttypes.SlotRequest,
    slot_loans.LentSlot: ttypes.LentSlot,
    slot_loans.SlotGrant: ttypes.SlotGrant,
    slot_loans.SlotReturn: ttypes.SlotReturn,
    slot_loans.HoldingsRequest: ttypes.HoldingsRequest,
    slot_loans.Holdings: ttypes.Holdings,
}
_MESSAGES = {struct: message for message, struct in _STRUCTS.items()}
# The field of Body for each message that is sent on its own, not in a list.
BODY_FIELDS: dict[type, str] = {
    slot_loans.SlotRequest: 'slot_request',
    slot_loans.SlotGrant: 'slot_grant',
    slot_loans.SlotReturn: 'slot_return',
    slot_loans.HoldingsRequest: 'holdings_request',
    slot_loans.Holdings: 'holdings',
}


# Thrift reserves these words, so their fields end with an underscore.
_RESERVED_WORDS = frozenset(('service',))


class IncompleteMessageError(CodedError):
    """A message from another VM lacks a field."""

    code = 'wire.incomplete'


def _wire_name(name: str) -> str:
    return f'{name}_' if name in _RESERVED_WORDS else name


def to_struct(message: object) -> Any:
    """Return the Thrift struct of a message; other values are unchanged."""
    if isinstance(message, tuple):
        return [to_struct(part) for part in message]
    struct = _STRUCTS.get(type(message))
    if struct is None:
        return message
    fields = attrs.fields(type(message))
    return struct(
        **{
            _wire_name(field.name): to_struct(getattr(message, field.name))
            for field in fields
        },
    )


def from_struct(struct: object) -> Any:
    """Return the message of a struct; other values are unchanged.

    Raises IncompleteMessageError if a field of the message is absent.
    """
    if isinstance(struct, list):
        return tuple(from_struct(part) for part in struct)
    message = _MESSAGES.get(type(struct))
    if message is None:
        return struct
    values = {
        field.name: from_struct(getattr(struct, _wire_name(field.name)))
        for field in attrs.fields(message)
    }
    missing = [name for name, part in values.items() if part is None]
    if missing:
        raise IncompleteMessageError(
            f'{message.__name__} lacks the fields {missing}'
        )
    return message(**values)


def to_body(message: object) -> ttypes.Body:
    """Return a message as the body of a frame."""
    field = BODY_FIELDS[type(message)]
    return ttypes.Body(**{field: to_struct(message)})


def from_body(body: ttypes.Body) -> object | None:
    """Return the message in a body, None if it carries another kind."""
    for field in BODY_FIELDS.values():
        struct = getattr(body, field)
        if struct is not None:
            return from_struct(struct)
    return None
