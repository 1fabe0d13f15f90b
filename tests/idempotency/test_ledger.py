"""Tests that no operation runs twice if the store or the holder fails."""

import random

import trio
from trio.testing import trio_test, wait_all_tasks_blocked

from chestnutshift.events.log import EventLog
from chestnutshift.idempotency import exceptions
from chestnutshift.idempotency.claims import Claim, NotRunProof
from chestnutshift.idempotency.records import TABLE
from chestnutshift.idempotency.retention import Sweeper
from chestnutshift.idempotency.verdicts import (
    HOLDER_GRACE_S,
    NotRun,
    NotSeen,
    OutcomeUnknown,
    Replay,
    StillRunning,
)
from chestnutshift.invariants.registry import InvariantViolationError
from chestnutshift.storage.records import Transaction, Write
from tests.idempotency import (
    START,
    TIMEOUT_S,
    enforced,
    make_ledger,
    make_outcome,
    make_platforms,
    make_request,
    no_holder_is_gone,
    raises,
)

REQUEST = make_request()


@trio_test
async def test_repeats_get_running_then_outcome():
    """Repeats at any VM get `running`, then the outcome once it is known."""
    here, there = (make_ledger(platform, vm) for platform, vm in _two_vms())
    claim = await here.begin(REQUEST, START)
    assert isinstance(claim, Claim)
    for ledger in (here, there):
        assert await ledger.begin(REQUEST, START) == StillRunning()
        with raises(exceptions.KeyReusedError):
            await ledger.begin(make_request(digest='other'), START)
    claim.before_send(START)
    here.finish(claim, make_outcome())
    assert await here.begin(REQUEST, START) == Replay(make_outcome())
    await here.record_writer.flush()
    for ledger in (here, there):
        assert await ledger.begin(REQUEST, START) == Replay(make_outcome())
        assert await ledger.resolve('konya', 'k1', START) == Replay(
            make_outcome(),
        )


@trio_test
async def test_accounts_do_not_share_keys():
    """The same key of another client account is another operation."""
    here, there = (make_ledger(platform, vm) for platform, vm in _two_vms())
    await here.begin(REQUEST, START)
    other = make_request(account='bursa')
    assert isinstance(await there.begin(other, START), Claim)


@trio_test
async def test_one_of_many_repeats_runs():
    """Of concurrent repeats at two VMs, exactly one gets the claim."""
    here, there = (make_ledger(platform, vm) for platform, vm in _two_vms(0.03))
    results = []

    async def begin(ledger):
        results.append(await ledger.begin(REQUEST, START))

    async with trio.open_nursery() as nursery:
        for ledger in (here, there) * 3:
            nursery.start_soon(begin, ledger)
    assert sum(isinstance(each, Claim) for each in results) == 1
    assert results.count(StillRunning()) == 5


@trio_test
async def test_not_run_is_claimed_again():
    """With proof that nothing ran, a repeat runs with a higher fence."""
    here, there = (make_ledger(platform, vm) for platform, vm in _two_vms())
    claim = await here.begin(REQUEST, START)
    here.close_not_run(claim)
    await here.record_writer.flush()
    assert await there.resolve('konya', 'k1', START) == NotRun()
    second = await there.begin(REQUEST, START)
    assert second.record.fence == 2
    there.close_not_run(second)
    # The closed claim is written before the next one.
    third = await there.begin(REQUEST, START)
    assert third.record.fence == 3


@trio_test
async def test_lost_holder_leaves_unknown():
    """The claim of a lost holder gives `unknown`, never `not run`."""
    gone = set()
    here, there = (
        make_ledger(platform, vm, holder_is_gone=gone.__contains__)
        for platform, vm in _two_vms()
    )
    claim = await here.begin(REQUEST, START)
    late = START.later(TIMEOUT_S + HOLDER_GRACE_S)
    assert await there.begin(REQUEST, late) == StillRunning()
    late = late.later(1)
    assert await there.begin(REQUEST, late) == OutcomeUnknown()
    gone.add(claim.record.holder)
    assert await there.begin(REQUEST, START) == OutcomeUnknown()
    # The holder was only paused, and its outcome replaces `unknown`.
    here.finish(claim, make_outcome())
    await here.record_writer.flush()
    assert await there.begin(REQUEST, START) == Replay(make_outcome())


@trio_test
async def test_paused_holder_sends_nothing_late():
    """A holder that resumes after its deadline sends nothing."""
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    claim = await ledger.begin(REQUEST, START)
    late = START.later(TIMEOUT_S + 1)
    with raises(exceptions.ClaimExpiredError):
        claim.before_send(late)
    # Trio's clock may stand still while the VM is suspended.
    suspended = type(START)(START.now, late.wall_s)
    with raises(exceptions.ClaimExpiredError):
        claim.before_send(suspended)
    ledger.abandon(claim)
    assert await ledger.resolve('konya', 'k1', late) == NotRun()


@trio_test
async def test_outage_refuses_without_a_claim():
    """A request refused in an outage is not claimed; a repeat can run."""
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    platform.outage = True
    with raises(exceptions.StoreUnreachableError) as caught:
        await ledger.begin(REQUEST, START)
    assert caught.exception.retry_after_s
    platform.outage = False
    assert await ledger.resolve('konya', 'k1', START) == NotSeen()
    assert isinstance(await ledger.begin(REQUEST, START), Claim)


@trio_test
async def test_lost_answer_is_resolved_by_retry():
    """If the answer to a claim is lost, one retry of the commit resolves it."""
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    platform.lose_answers = 1
    assert isinstance(await ledger.begin(REQUEST, START), Claim)


@trio_test
async def test_uncertain_claim_is_closed_not_run():
    """A claim that the store never confirms is refused, closed as not run."""
    here, there = (make_ledger(platform, vm) for platform, vm in _two_vms())
    here._claimer.platform.lose_answers = 2
    with raises(exceptions.StoreUnreachableError):
        await here.begin(REQUEST, START)
    assert await there.begin(REQUEST, START) == StillRunning()
    await here.record_writer.flush()
    assert isinstance(await there.begin(REQUEST, START), Claim)


@trio_test
async def test_cancelled_claim_is_closed_not_run():
    """A caller that disconnects during the claim doesn't block its repeat."""
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    platform.latency_s = 1
    with trio.move_on_after(0):
        await ledger.begin(REQUEST, START)
    platform.latency_s = 0
    assert isinstance(await ledger.begin(REQUEST, START), Claim)


@trio_test
async def test_claim_closed_in_outage_is_written_later():
    """The run loop writes closed claims once the store is reachable again."""
    here, there = (make_ledger(platform, vm) for platform, vm in _two_vms())
    claim = await here.begin(REQUEST, START)
    claim.before_send(START)
    here._claimer.platform.outage = True
    here.finish(claim, make_outcome())
    with trio.move_on_after(0.01):
        await here.record_writer.run()
    assert len(here.record_writer) == 1
    here._claimer.platform.outage = False
    with trio.move_on_after(0.01):
        await here.record_writer.run()
    assert len(here.record_writer) == 0
    assert await there.begin(REQUEST, START) == Replay(make_outcome())


@trio_test
async def test_direct_flush_does_not_stop_the_loop():
    """The run loop still writes new claims after a direct flush."""
    ledger = make_ledger(make_platforms(1)[0])
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ledger.record_writer.run)
        await wait_all_tasks_blocked()
        await ledger.record_writer.flush()
        ledger.close_not_run(await ledger.begin(REQUEST, START))
        await wait_all_tasks_blocked()
        assert len(ledger.record_writer) == 0
        nursery.cancel_scope.cancel()


@trio_test
async def test_unreadable_record_is_kept():
    """An unreadable row refuses repeats, but breaks neither writer nor sweeper.

    Such a row may come from another release.
    """
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    claim = await ledger.begin(REQUEST, START)
    write = Write(TABLE, REQUEST.table_key, {'version': 9})
    await platform.commit(Transaction('other', (), (write,)))
    with raises(exceptions.UnreadableRecordError):
        await make_ledger(platform, 'm2').begin(REQUEST, START)
    ledger.close_not_run(claim)
    await ledger.record_writer.flush()
    rng = random.Random(1)
    sweeper = Sweeper(platform, rng, EventLog('m1'), no_holder_is_gone)
    assert await sweeper.sweep_page(2 * START.wall_s) == 0


@trio_test
async def test_claim_is_sent_once():
    """A second attempt needs proof that the first did not run."""
    platform = make_platforms(1)[0]
    ledger = make_ledger(platform)
    claim = await ledger.begin(REQUEST, START)
    claim.before_send(START)
    with enforced(), raises(InvariantViolationError):
        claim.before_send(START)
    with raises(exceptions.ClaimExpiredError):
        claim.before_send(START)
    with enforced(), raises(InvariantViolationError):
        claim.allow_retry(NotRunProof.NOT_SENT)
    claim.allow_retry(NotRunProof.UPSTREAM_SAID_SO)
    claim.before_send(START)
    with enforced(), raises(InvariantViolationError):
        ledger.close_not_run(claim)
    # Without enforcement, `not run` without valid proof becomes `unknown`.
    ledger.close_not_run(claim)
    assert await ledger.begin(REQUEST, START) == OutcomeUnknown()


def _two_vms(latency_s: float = 0):
    platforms = make_platforms(2)
    for platform in platforms:
        platform.latency_s = latency_s
    return zip(platforms, ('m1', 'm2'), strict=True)
