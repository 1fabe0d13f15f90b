"""The edge VM's libraries are those of the product."""

import pathlib

ROOT = pathlib.Path(__file__).parent.parent.parent


def pins(name: str) -> set[str]:
    """Return the pinned libraries of a requirements file."""
    lines = (ROOT / name).read_text(encoding='utf-8').splitlines()
    return {line for line in lines if line and not line.startswith('#')}


def test_same_versions() -> None:
    """What an edge VM carries is a part of what the binary carries."""
    assert pins('requirements-edge.txt') < pins('requirements.txt')
