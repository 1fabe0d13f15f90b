"""The page on style gives every ignored rule and changed limit a reason."""

import configparser
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent.parent


def test_page_names_all():
    """Each rule and each limit of setup.cfg is on the page."""
    page = ROOT.joinpath('docs/internals/style.md').read_text('utf-8')
    parser = configparser.ConfigParser()
    parser.read(ROOT / 'setup.cfg')
    section = parser['flake8']
    text = section['ignore'] + section['per-file-ignores']
    plain = re.sub('#.*', '', text)
    wanted = set(re.findall(r'\b(?:WPS|E|W)\d+', plain))
    wanted.update(name for name in section if name.startswith('max-'))
    assert all(name in page for name in wanted)
