"""Loading of TOML files into typed values; errors name the wrong keys."""

import pathlib
import tomllib
from typing import TypeVar

from attrs import fields_dict
from cattrs import Converter, ForbiddenExtraKeysError, transform_error
from cattrs.v import format_exception

from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.conf.settings import Settings

Loaded = TypeVar('Loaded')
ALLOWED = {
    float: 'a number',
    int: 'a whole number',
    str: 'a string',
    bool: 'true or false',
}


def _strict_float(number: object, _target: type) -> float:
    if isinstance(number, bool) or not isinstance(number, (int, float)):
        raise ValueError(f'{number!r} is not a number')
    return float(number)


def _strict_int(number: object, _target: type) -> int:
    if isinstance(number, bool) or not isinstance(number, int):
        raise ValueError(f'{number!r} is not a whole number')
    return number


def _strict_text(text: object, _target: type) -> str:
    if not isinstance(text, str):
        raise ValueError(f'{text!r} is not a string')
    return text


def _strict_bool(flag: object, _target: type) -> bool:
    if not isinstance(flag, bool):
        raise ValueError(f'{flag!r} is neither true nor false')
    return flag


def _is_untyped(target: object) -> bool:
    return target is object


def _pass_through(raw: object, _target: type) -> object:
    return raw


def make_converter() -> Converter:
    """Create a converter that refuses unknown keys and wrong types."""
    converter = Converter(forbid_extra_keys=True)
    converter.register_structure_hook(float, _strict_float)
    converter.register_structure_hook(int, _strict_int)
    converter.register_structure_hook(str, _strict_text)
    converter.register_structure_hook(bool, _strict_bool)
    converter.register_structure_hook_func(_is_untyped, _pass_through)
    return converter


CONVERTER = make_converter()


def structure(raw: object, target: type[Loaded], path: str) -> Loaded:
    """Convert raw to the target class; SettingsError lists every problem."""
    try:
        return CONVERTER.structure(raw, target)
    except Exception as error:
        messages = transform_error(error, '', _describe)
        problems = tuple(_with_key_first(problem) for problem in messages)
        raise SettingsError(path, problems) from error


def _describe(error: BaseException, target: type | None) -> str:
    if isinstance(error, ForbiddenExtraKeysError):
        unknown = ', '.join(sorted(error.extra_fields))
        allowed = ', '.join(fields_dict(error.cl))
        return f'unknown keys: {unknown}; allowed: {allowed}'
    if isinstance(error, KeyError):
        return 'is missing and has no default; allowed: a value'
    if isinstance(error, ValueError) and target in ALLOWED:
        return f'{error}; allowed: {ALLOWED[target]}'
    if isinstance(error, (AttributeError, TypeError)):
        return 'has the wrong type; allowed: a table or a list of tables'
    return format_exception(error, target)


def _with_key_first(problem: str) -> str:
    message, _, key = problem.rpartition(' @ ')
    return f'{key.removeprefix(".") or "(top level)"}: {message}'


def read_toml(path: str) -> dict[str, object]:
    """Parse a TOML file; raise SettingsError."""
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except OSError as error:
        raise SettingsError(path, (f'cannot be read: {error}',)) from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(path, (f'is not TOML: {error}',)) from error


def load_settings(path: str) -> Settings:
    """Load the settings of a VM; raise SettingsError."""
    return structure(read_toml(path), Settings, path)


def read_secret(path: str) -> bytes:
    """Read the shared secret in a file; raise SettingsError."""
    try:
        secret = pathlib.Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(path, (f'cannot be read: {error}',)) from error
    if not secret:
        raise SettingsError(path, ('contains no secret',))
    return secret
