"""Test that the style page lists every ignored rule and changed limit."""

import configparser
import pathlib
import re

ROOT = pathlib.Path(__file__).parent.parent.parent


def test_page_names_all():
    """Each ignored rule and each limit of setup.cfg is on the page."""
    page = ROOT.joinpath('docs/internals/style.md').read_text('utf-8')
    parser = configparser.ConfigParser()
    parser.read(ROOT / 'setup.cfg')
    section = parser['flake8']
    text = section['ignore'] + section['per-file-ignores']
    without_comments = re.sub('#.*', '', text)
    required = set(re.findall(r'\b(?:WPS|E|W)\d+', without_comments))
    required.update(name for name in section if name.startswith('max-'))
    assert all(name in page for name in required)
