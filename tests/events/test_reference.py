"""Tests that the reference page of events matches the catalogue."""

import re

from tools import event_catalogue

NAME = re.compile('[a-z]+([.][a-z]+(_[a-z]+)*)+')


def test_page_is_current():
    """The page is the one that the catalogue generates."""
    page = event_catalogue.PAGE.read_text(encoding='utf-8')
    assert page == event_catalogue.make_page()


def test_names_have_one_form():
    """Names are unique, dotted, and lower case with underscores."""
    names = [kind.name for kind in event_catalogue.load_every_kind()]
    assert len(names) == len(set(names))
    assert all(map(NAME.fullmatch, names))
