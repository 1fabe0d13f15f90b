"""Registry of the kinds of change that operators can request."""

from collections.abc import Callable

from chestnutshift.conf.loader import structure
from chestnutshift.configuration import changes
from chestnutshift.configuration.model import Configuration, Preset
from chestnutshift.operators.exceptions import BadRequestError
from chestnutshift.registry import Registry

Arguments = dict[str, object]
Change = Callable[[Configuration, Arguments], Configuration]
CHANGES: Registry[Change] = Registry('kind of change')


def _required_text(arguments: Arguments, name: str) -> str:
    text = arguments.get(name)
    if not isinstance(text, str) or not text:
        raise BadRequestError(f'argument {name!r} must be a non-empty string')
    return text


@CHANGES.register('choose_preset')
def _choose_preset(configuration: Configuration, arguments: Arguments):
    return changes.choose_preset(
        configuration, _required_text(arguments, 'preset')
    )


@CHANGES.register('edit_preset')
def _edit_preset(configuration: Configuration, arguments: Arguments):
    name = _required_text(arguments, 'preset')
    preset = structure(arguments.get('content'), Preset, f'preset {name}')
    return changes.edit_preset(configuration, name, preset)


@CHANGES.register('give_key')
def _give_key(configuration: Configuration, arguments: Arguments):
    return changes.give_key(
        configuration,
        _required_text(arguments, 'digest'),
        _required_text(arguments, 'account'),
        _required_text(arguments, 'label'),
    )


@CHANGES.register('withdraw_key')
def _withdraw_key(configuration: Configuration, arguments: Arguments):
    reference = _required_text(arguments, 'key')
    digest = changes.find_digest(configuration, reference)
    return changes.withdraw_key(configuration, digest)


@CHANGES.register('start_drain')
def _start_drain(configuration: Configuration, arguments: Arguments):
    return changes.start_drain(
        configuration, _required_text(arguments, 'target')
    )


@CHANGES.register('end_drain')
def _end_drain(configuration: Configuration, arguments: Arguments):
    return changes.end_drain(configuration, _required_text(arguments, 'target'))
