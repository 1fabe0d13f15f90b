"""Tests that a ticket runs at most once, and only where it was issued."""

from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.idempotency import exceptions
from chestnutshift.idempotency.claims import Claim
from chestnutshift.idempotency.memory import EXPIRY_INTERVAL_S
from chestnutshift.idempotency.tickets import TICKET_LIFETIME_S, parse_ticket
from chestnutshift.idempotency.verdicts import (
    NotSeen,
    OutcomeUnknown,
    Replay,
    StillRunning,
)
from tests.idempotency import (
    START,
    make_ledger,
    make_outcome,
    make_platforms,
    make_request,
    raises,
)

EXPIRED = START.later(TICKET_LIFETIME_S + 1)


def make_isolated(vm: str = 'm1', incarnation: str = 'i1'):
    """Return a ledger whose store is unreachable, and its platform."""
    platform = make_platforms(1)[0]
    platform.outage = True
    return make_ledger(platform, vm, incarnation), platform


@trio_test
async def test_ticket_runs_once_without_store():
    """Repeats get the first outcome; other content is refused."""
    ledger, platform = make_isolated()
    request = make_request(ledger.issue_ticket('konya', START))
    assert await ledger.resolve('konya', request.key, START) == NotSeen()
    claim = await ledger.begin(request, START)
    assert isinstance(claim, Claim)
    assert await ledger.begin(request, START) == StillRunning()
    claim.before_send(START)
    ledger.finish(claim, make_outcome())
    assert await ledger.begin(request, START) == Replay(make_outcome())
    with raises(exceptions.KeyReusedError):
        await ledger.begin(make_request(request.key, 'other'), START)
    platform.outage = False
    await ledger.record_writer.flush()
    # Written to the store, and still in memory.
    assert await ledger.begin(request, START) == Replay(make_outcome())
    other = make_ledger(platform, 'm2')
    verdict = await other.resolve('konya', request.key, START)
    assert verdict == Replay(make_outcome())


@trio_test
async def test_ticket_not_run_may_run_again():
    """With proof that nothing ran, the ticket may run with a higher fence."""
    ledger, platform = make_isolated()
    request = make_request(ledger.issue_ticket('konya', START))
    ledger.close_not_run(await ledger.begin(request, START))
    claim = await ledger.begin(request, START)
    assert claim.record.fence == 2
    claim.before_send(START)
    ledger.finish(claim, make_outcome())
    platform.outage = False
    await ledger.record_writer.flush()
    other = make_ledger(platform, 'm2')
    verdict = await other.resolve('konya', request.key, START)
    assert verdict == Replay(make_outcome())


@trio_test
async def test_ticket_is_refused_elsewhere():
    """Another VM names the ticket's VM; a forged ticket is refused."""
    ledger = make_isolated()[0]
    ticket = ledger.issue_ticket('konya', START)
    with raises(exceptions.TicketElsewhereError) as caught:
        await make_isolated('m2')[0].begin(make_request(ticket), START)
    assert caught.exception.vm == 'm1'
    connected = make_ledger(make_platforms(1)[0], 'm2')
    with raises(exceptions.TicketElsewhereError):
        await connected.resolve('konya', ticket, START)
    stolen = make_request(ticket, account='bursa')
    with raises(exceptions.TicketForgedError):
        await ledger.begin(stolen, START)
    forged = make_request(f'{ticket[:-1]}x')
    with raises(exceptions.TicketForgedError):
        await ledger.begin(forged, START)


@trio_test
async def test_later_incarnation_answers_unknown():
    """A restarted VM doesn't know whether the ticket was used."""
    ledger, platform = make_isolated()
    request = make_request(ledger.issue_ticket('konya', START))
    restarted = make_ledger(platform, incarnation='i2')
    with raises(exceptions.StoreUnreachableError):
        await restarted.begin(request, START)
    platform.outage = False
    assert await restarted.begin(request, START) == OutcomeUnknown()
    verdict = await restarted.resolve('konya', request.key, START)
    assert verdict == OutcomeUnknown()


@trio_test
async def test_expired_ticket_does_not_run():
    """An expired ticket is refused; only open claims stay in memory."""
    ledger = make_isolated()[0]
    request = make_request(ledger.issue_ticket('konya', START))
    claim = await ledger.begin(request, START)
    with raises(exceptions.TicketExpiredError):
        await ledger.begin(request, EXPIRED)
    # Kept while open, dropped once closed.
    ledger.issue_ticket('konya', EXPIRED)
    assert ledger._memory.get(request.table_key) is claim
    ledger.abandon(claim)
    ledger.issue_ticket('konya', EXPIRED.later(EXPIRY_INTERVAL_S))
    assert ledger._memory.get(request.table_key) is None


@trio_test
async def test_dropped_ticket_does_not_run():
    """A repeat that arrived before the expiry may be checked after it.

    Its ticket may be gone from memory then, and would run twice if it were
    checked by the time of arrival alone.
    """
    ledger = make_isolated()[0]
    request = make_request(ledger.issue_ticket('konya', START))
    claim = await ledger.begin(request, START)
    claim.before_send(START)
    ledger.finish(claim, make_outcome())
    ledger.issue_ticket('konya', EXPIRED)
    with raises(exceptions.TicketExpiredError):
        await ledger.begin(request, START)


@trio_test
async def test_memory_is_bounded():
    """The numbers of used tickets and unwritten outcomes are bounded."""
    ledger = make_isolated()[0]
    ledger._memory.limit = 3
    ledger.record_writer.limit = 2
    for _ in range(3):
        request = make_request(ledger.issue_ticket('konya', START))
        claim = await ledger.begin(request, START)
        claim.before_send(START)
        ledger.finish(claim, make_outcome())
    with raises(exceptions.TooManyRecordsError):
        ledger.issue_ticket('konya', START)
    assert len(ledger.record_writer) == 2
    assert await ledger.begin(request, START) == Replay(make_outcome())


@params('', 'k1', 'cst1~a~b', 'cst1~vm~i~1~soon~mac', 'cst2~vm~i~1~5~mac')
def test_other_keys_are_no_tickets(key):
    """Keys that callers chose are not parsed as tickets."""
    assert parse_ticket(key) is None


# Guards against a request that fails within the program for its key.
@params('9' * 5000, '\u00b2', '-1', '1.5', '')
def test_expiry_that_is_no_number(text: str):
    """A key of this form is no ticket."""
    ticket = make_isolated()[0].issue_ticket('konya', START)
    expiry = f'~{parse_ticket(ticket).expires_at}~'
    assert expiry in ticket
    assert parse_ticket(ticket.replace(expiry, f'~{text}~')) is None
