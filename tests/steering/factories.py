"""Factories of upstreams and directories for tests of steering."""

import attrs

from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Registration, Upstream

REGIONS = {'a1': 'a', 'a2': 'a', 'b1': 'b', 'c1': 'c'}
SERVICE = 'listings'
NOW = 1000.0


def make_registration(name: str, **changes: object) -> Registration:
    """Return a registration in a1 with three slots; changes override fields."""
    registration = Registration(
        upstream=name,
        started_at_ms=1,
        service=SERVICE,
        address='127.0.0.1',
        port=8000,
        failure_domain='a1',
        slots=3,
        sequence=1,
    )
    return attrs.evolve(registration, **changes)


def register(
    directory: UpstreamDirectory,
    name: str,
    **changes: object,
) -> Upstream | None:
    """Register an upstream; changes override the fields of its row."""
    return directory.register(make_registration(name, **changes), NOW)


def make_directory() -> UpstreamDirectory:
    """Return an empty directory of four failure domains."""
    return UpstreamDirectory(REGIONS)
