"""Tests of the keys package, and their shared helpers."""

import unittest

from chestnutshift.configuration.model import (
    AccountLimit,
    Configuration,
    KeyRecord,
    Preset,
)
from chestnutshift.keys import credentials
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.freshness import KnowledgeView, PeerView
from tests.enforcement import enforced  # noqa: F401 - for the tests

KEY = 'q7Jr-Xb2_Wm9sKd4Tz8Lh1Vc6Nf3Pg5Yy0Ae7Uo2Ri4S'
OTHER_KEY = 'another-key-of-another-account'
DIGEST = credentials.digest(KEY)
NOW = 100.0
TRUST_S = 5.0

raises = unittest.TestCase().assertRaises


def make_configuration(
    number: int = 1,
    *,
    withdrawn: bool = False,
    account: str = 'konya',
) -> Configuration:
    """Return a configuration whose only key is KEY."""
    preset = Preset(accounts={account: AccountLimit(rate=10, burst=10)})
    return Configuration(
        number=number,
        deployment='anadolu',
        services=(),
        presets={'ordinary': preset},
        in_force='ordinary',
        keys={DIGEST: KeyRecord(account, 'test', withdrawn=withdrawn)},
    )


def make_ring() -> KeyRing:
    """Return a ring with KEY, confirmed at NOW, and one silent peer."""
    ring = KeyRing()
    ring.update_knowledge(
        KnowledgeView(TRUST_S, confirmed_at=NOW, peers=(PeerView(),)),
    )
    ring.adopt(make_configuration())
    return ring
