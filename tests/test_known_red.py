"""Parsing of the list of known red tests."""

from tests.known_red import read_known_red


def test_comments_are_not_entries():
    """Only the first column of an entry line names a test."""
    text = '# note\n\ntests.a.test_b | make test | seen | 3\n'
    assert read_known_red(text) == {'tests.a.test_b'}
