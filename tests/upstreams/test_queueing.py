"""A queue refuses at once what it can't serve in time, and is fair."""

from chestnutshift.upstreams.exceptions import (
    DeadlineTooNearError,
    QueueFullError,
    RefusedError,
)
from chestnutshift.upstreams.queueing import (
    DURATION_START_S,
    ServiceQueue,
    Waiting,
)

SLOTS = 5


def offer(queue: ServiceQueue, account: str, deadline_at: float = 30):
    """Offer one request at time 0; return it and what happened to it."""
    waiting = Waiting(f'{account}-{len(queue)}', account, deadline_at)
    try:
        return waiting, queue.offer(waiting, SLOTS, 0)
    except RefusedError as error:
        return waiting, error


def test_too_near_a_deadline_is_refused():
    """What can't end in time is refused with the time to come back."""
    queue = ServiceQueue('listings')
    _, refusal = offer(queue, 'a', DURATION_START_S / 2)
    assert isinstance(refusal, DeadlineTooNearError)
    assert refusal.retry_after_s >= 1
    assert not queue


def test_backlog_counts_against_the_deadline():
    """The more waits, the farther a deadline has to be."""
    queue = ServiceQueue('listings')
    for _ in range(20):
        offer(queue, 'a')
    # Twenty requests at 5 slots and 50 ms each take 200 ms.
    _, early = offer(queue, 'a', 0.2)
    _, late = offer(queue, 'a', 0.3)
    assert isinstance(early, DeadlineTooNearError)
    assert late is None


def test_no_slots_refuses():
    """A VM without slots of the service queues nothing."""
    queue = ServiceQueue('listings')
    try:
        queue.offer(Waiting('1', 'a', 30), 0, 0)
    except DeadlineTooNearError as error:
        assert error.retry_after_s == 60
        return
    raise AssertionError('the request was queued')


def test_accounts_take_turns():
    """One account's many requests don't hold up another's one."""
    queue = ServiceQueue('listings')
    for _ in range(10):
        offer(queue, 'large')
    small, _ = offer(queue, 'small')
    taken = [queue.take(0) for _ in range(2)]
    assert small in taken


def test_full_queue_pushes_out_the_largest():
    """In a full queue the account with the most loses its newest."""
    queue = ServiceQueue('listings', length_max=4)
    offers = [offer(queue, 'large')[0] for _ in range(4)]
    _, evicted = offer(queue, 'small')
    assert evicted is offers[-1]
    _, refusal = offer(queue, 'large')
    assert isinstance(refusal, QueueFullError)
    assert len(queue) == 4


def test_late_requests_are_given_up_at_once():
    """A request whose time ran out is not taken but reported."""
    queue = ServiceQueue('listings')
    late, _ = offer(queue, 'a', 1)
    sound, _ = offer(queue, 'a', 30)
    assert queue.take(2) is sound
    assert queue.expired(2) == [late]
    assert not queue


def test_withdrawn_request_is_gone():
    """A caller that left leaves nothing behind."""
    queue = ServiceQueue('listings')
    waiting, _ = offer(queue, 'a')
    assert queue.cancel(waiting)
    assert not queue.cancel(waiting)
    assert queue.take(0) is None
