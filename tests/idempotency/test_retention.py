"""Tests of the deletion of old records."""

import random

from trio.testing import trio_test

from chestnutshift.events.log import EventLog
from chestnutshift.idempotency import retention
from chestnutshift.idempotency.verdicts import NotSeen, StillRunning
from tests.idempotency import (
    START,
    make_ledger,
    make_outcome,
    make_platforms,
    make_request,
)

RETAINED_S = START.wall_s + retention.RETENTION_S
OLD_S = RETAINED_S + 1


@trio_test
async def test_old_closed_records_are_deleted():
    """Closed records are deleted; running ones only of lost holders."""
    gone = set()
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    open_claim = await ledger.begin(make_request('running'), START)
    for key in ('k1', 'k2', 'k3'):
        claim = await ledger.begin(make_request(key), START)
        claim.before_send(START)
        ledger.finish(claim, make_outcome())
    await ledger.record_writer.flush()
    sweeper = make_sweeper(platform, gone)
    assert await sweeper.sweep_page(RETAINED_S) == 0
    platform.outage = True
    assert await sweeper.sweep_page(OLD_S) == 0
    platform.outage = False
    assert await sweeper.sweep_page(OLD_S) == 3
    assert await ledger.resolve('konya', 'k2', START) == NotSeen()
    other = make_ledger(platform, 'm2')
    running = await other.resolve('konya', 'running', START)
    assert running == StillRunning()
    gone.add(open_claim.record.holder)
    assert await sweeper.sweep_page(OLD_S) == 1


@trio_test
async def test_pages_follow_each_other():
    """Each page follows the previous one; after the last it starts over."""
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    count = retention.PAGE_ROWS + 1
    for number in range(count):
        ledger.close_not_run(
            await ledger.begin(make_request(f'k{number}'), START)
        )
    await ledger.record_writer.flush()
    sweeper = make_sweeper(platform, set())
    assert await sweeper.sweep_page(OLD_S) == retention.PAGE_ROWS
    assert await sweeper.sweep_page(OLD_S) == 1
    assert await sweeper.sweep_page(OLD_S) == 0


def make_sweeper(platform, gone: set) -> retention.Sweeper:
    """Return a sweeper that treats these holders as gone."""
    return retention.Sweeper(
        platform,
        random.Random(1),
        EventLog('m1'),
        gone.__contains__,
    )
