"""Tests of the idempotency package, and their shared helpers."""

import random
import unittest

from chestnutshift.events.log import EventLog
from chestnutshift.idempotency.claims import OperationRequest
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.moments import Moment
from chestnutshift.idempotency.outcomes import AnswerRecorder, Outcome
from chestnutshift.idempotency.records import Holder
from chestnutshift.idempotency.verdicts import HolderIsGone
from chestnutshift.storage.backends.memory import MemoryPlatform, Store
from tests.enforcement import enforced  # noqa: F401 - for the tests

START = Moment(now=1000, wall_s=1_700_000_000)
TIMEOUT_S = 30.0

raises = unittest.TestCase().assertRaises


def no_holder_is_gone(holder: Holder) -> bool:
    """Treat every holder as alive."""
    return False


def make_ledger(
    platform: MemoryPlatform,
    vm: str = 'm1',
    incarnation: str = 'i1',
    holder_is_gone: HolderIsGone = no_holder_is_gone,
) -> Ledger:
    """Return the ledger of one VM with deterministic random numbers."""
    rng = random.Random(f'{vm}/{incarnation}')
    holder = Holder(vm, incarnation)
    return Ledger(platform, holder, rng, EventLog(vm), holder_is_gone)


def make_request(
    key: str = 'k1',
    digest: str = 'd1',
    account: str = 'konya',
) -> OperationRequest:
    """Return a request with an idempotency key."""
    return OperationRequest(account, key, digest, TIMEOUT_S)


def make_outcome(body: bytes = b'booked') -> Outcome:
    """Return the outcome of an answer with this body."""
    headers = [(b'Location', b'/bookings/7'), (b'Date', b'today')]
    recorder = AnswerRecorder(201, headers)
    recorder.add(body)
    return recorder.outcome()


def make_platforms(count: int) -> list[MemoryPlatform]:
    """Return clients of one store for several VMs."""
    store = Store()
    return [MemoryPlatform(store) for _ in range(count)]
