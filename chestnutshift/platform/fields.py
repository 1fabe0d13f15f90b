"""Typed access to the fields of the platform's documents."""

import json
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

from chestnutshift.decimals import (
    INTEGER_MAX,
    UnreadableNumberError,
    check_integer,
    check_number,
)
from chestnutshift.platform.exceptions import MalformedError

Number = TypeVar('Number', int, float)

NUMBER_MAX = 1e15


def read_document(content: bytes) -> Mapping[str, Any]:
    """Parse a JSON object; raise MalformedError."""
    try:
        document = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise MalformedError(f'not JSON: {error}') from error
    if not isinstance(document, dict):
        raise MalformedError('not a JSON object')
    return document


def check_text(name: str, text: str) -> None:
    """Raise MalformedError for text that no message can carry.

    JSON may name half of a surrogate pair, which has no encoding.
    """
    try:
        text.encode()
    except UnicodeEncodeError as error:
        raise MalformedError(f'{name} is not valid Unicode') from error


def check_header_text(name: str, text: str) -> None:
    """Raise MalformedError for text that no header can carry."""
    check_text(name, text)
    if not text or not text.isprintable() or text != text.strip():
        raise MalformedError(f'{name} can not be sent in a header')


def read_table(table: object) -> Iterator[Mapping[str, Any]]:
    """Yield the rows of a table with columns, without null fields.

    Raise MalformedError for a table or row of another form.
    """
    if not isinstance(table, dict):
        raise MalformedError('not a table with columns and rows')
    columns = table.get('cols')
    rows = table.get('rows')
    if not isinstance(columns, list) or not isinstance(rows, list):
        raise MalformedError('a table lacks its columns or rows')
    if not all(isinstance(column, str) for column in columns):
        raise MalformedError('a column of a table has no name')
    for row in rows:
        if not isinstance(row, list) or len(row) != len(columns):
            raise MalformedError(
                'a row does not match the columns of its table'
            )
        pairs = zip(columns, row, strict=True)
        yield {name: cell for name, cell in pairs if cell is not None}


def text_of(fields: Mapping[str, Any], name: str, default: str = '') -> str:
    """Return a string; raise MalformedError for another type."""
    text = fields.get(name, default)
    if not isinstance(text, str):
        raise MalformedError(f'{name} is not a string')
    check_text(name, text)
    return text


def required_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a string that is not empty; raise MalformedError."""
    text = text_of(fields, name)
    if not text:
        raise MalformedError(f'{name} is missing')
    return text


def read_as(
    name: str, read: Callable[..., Number], text: object, *bounds: float
) -> Number:
    """Return what a reader of numbers returns; raise MalformedError."""
    try:
        return read(text, *bounds)
    except UnreadableNumberError as error:
        raise MalformedError(f'{name}: {error.detail}') from error


def number_of(
    fields: Mapping[str, Any], name: str, default: float = 0
) -> float:
    """Return a number from 0 to NUMBER_MAX; raise MalformedError."""
    return read_as(name, check_number, fields.get(name, default), NUMBER_MAX)


def integer_of(
    fields: Mapping[str, Any],
    name: str,
    default: int = 0,
    maximum: int = INTEGER_MAX,
) -> int:
    """Return an integer from 0 to maximum; raise MalformedError."""
    return read_as(name, check_integer, fields.get(name, default), maximum)


def flag_of(
    fields: Mapping[str, Any],
    name: str,
    *,
    default: bool = False,
) -> bool:
    """Return a boolean; raise MalformedError for another type."""
    flag = fields.get(name, default)
    if not isinstance(flag, bool):
        raise MalformedError(f'{name} is neither true nor false')
    return flag


def texts_of(fields: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of strings, empty if missing; raise MalformedError."""
    texts = fields.get(name, [])
    is_list = isinstance(texts, list)
    if not is_list or not all(isinstance(text, str) for text in texts):
        raise MalformedError(f'{name} is not a list of strings')
    for text in texts:
        check_text(name, text)
    return tuple(texts)


def object_of(fields: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    """Return a nested object, empty if missing; raise MalformedError."""
    nested = fields.get(name, {})
    if not isinstance(nested, dict):
        raise MalformedError(f'{name} is not an object')
    return nested
