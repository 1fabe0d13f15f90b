"""Test of the pinned libraries of an edge VM."""

import pathlib

ROOT = pathlib.Path(__file__).parent.parent.parent


def read_pins(name: str) -> set[str]:
    """Return the pinned libraries in a requirements file."""
    lines = (ROOT / name).read_text(encoding='utf-8').splitlines()
    return {line for line in lines if line and not line.startswith('#')}


def test_same_versions() -> None:
    """The edge VM uses a subset of the product's libraries, same versions."""
    assert read_pins('requirements-edge.txt') < read_pins('requirements.txt')
