"""The newest route table that peers name."""

from chestnutshift.fleet.peer_tables import PeerTables

HOLD_S = 5


def test_how_long_a_newer_table_is_known() -> None:
    """It counts from when a peer first named it, until it is in force."""
    tables = PeerTables()
    tables.record(3, own_version=3, now=100)
    assert tables.behind_s(3, 101) == 0
    tables.record(4, own_version=3, now=102)
    tables.record(5, own_version=3, now=103)
    assert tables.behind_s(3, 103) == 1
    assert tables.behind_s(4, 104) == 2
    assert tables.behind_s(5, 104) == 0
    tables.record(6, own_version=5, now=110)
    assert tables.behind_s(5, 111) == 1


# A peer that falls silent may still be the only one to know the table.
def test_table_that_no_peer_names_any_more() -> None:
    """It counts for a while, then what the live peers name."""
    tables = PeerTables()
    tables.record(4, own_version=2, now=100)
    tables.record(3, own_version=2, now=104)
    tables.expire([3], HOLD_S, now=105)
    assert tables.newest == 4
    tables.expire([3], HOLD_S, now=105.1)
    assert tables.newest == 3
    assert tables.behind_s(2, 105.1) > 5
    tables.expire([], HOLD_S, now=120)
    assert tables.behind_s(2, 120) == 0
