"""Registries of checks and the functions that run all of them."""

from collections.abc import Callable, Iterable, Iterator

from chestnutshift.checks.messages import CheckMessage
from chestnutshift.checks.plans import DrainPlan
from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.model import Configuration
from chestnutshift.registry import Registry

# The key, the problem, and what is allowed.
Finding = tuple[str, str, str]
SETTINGS: Registry[Callable[[Settings], Iterable[Finding]]] = Registry(
    'check of settings',
)
CONFIGURATION: Registry[Callable[[Configuration], Iterable[Finding]]] = (
    Registry('check of configurations')
)
DRAINS: Registry[Callable[[DrainPlan], Iterable[Finding]]] = Registry(
    'check of drains',
)


def _run(registry: Registry, subject: object) -> Iterator[CheckMessage]:
    for check in registry:
        for key, problem, allowed in registry.get(check)(subject):
            yield CheckMessage(check, key, problem, allowed)


def check_settings(settings: Settings) -> tuple[CheckMessage, ...]:
    """Run all checks of settings."""
    return tuple(_run(SETTINGS, settings))


def check_configuration(
    configuration: Configuration,
) -> tuple[CheckMessage, ...]:
    """Run all checks of a configuration."""
    return tuple(_run(CONFIGURATION, configuration))


def check_drains(plan: DrainPlan) -> tuple[CheckMessage, ...]:
    """Run all checks of a drain that is about to start."""
    return tuple(_run(DRAINS, plan))
