"""Reading and checking of preset files."""

from chestnutshift.checks.presets import check_preset
from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.conf.loader import read_toml, structure
from chestnutshift.configuration.model import Preset


def read_preset(name: str, path: str) -> dict[str, object]:
    """Return the file's content; raise SettingsError with all problems."""
    content = read_toml(path)
    problems = check_preset(name, structure(content, Preset, path))
    if problems:
        raise SettingsError(path, tuple(map(str, problems)))
    return content
