"""Checks of a single preset, before it is part of a configuration."""

from chestnutshift.checks.messages import CheckMessage
from chestnutshift.checks.registry import check_configuration
from chestnutshift.configuration.model import Configuration, Preset, Service


def check_preset(name: str, preset: Preset) -> tuple[CheckMessage, ...]:
    """Run the configuration checks on a configuration of this preset only."""
    configuration = Configuration(
        number=1,
        deployment=name,
        services=(Service('service', '/service'),),
        presets={name: preset},
        in_force=name,
    )
    return check_configuration(configuration)
