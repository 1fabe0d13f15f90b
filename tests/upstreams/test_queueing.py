"""A queue is fair and refuses at once what it cannot serve in time."""

from chestnutshift.upstreams.exceptions import (
    DeadlineTooNearError,
    QueueFullError,
    RefusedError,
)
from chestnutshift.upstreams.queueing import (
    DURATION_START_S,
    QueuedRequest,
    ServiceQueue,
)

SLOTS = 5


def offer(queue: ServiceQueue, account: str, deadline_at: float = 30):
    """Offer a request at time 0; return it and the evicted one or the error."""
    request = QueuedRequest(f'{account}-{len(queue)}', account, deadline_at)
    try:
        return request, queue.offer(request, SLOTS, 0)
    except RefusedError as error:
        return request, error


def test_too_near_a_deadline_is_refused():
    """A request that cannot end in time is refused with a retry-after."""
    queue = ServiceQueue('listings')
    _, refusal = offer(queue, 'a', DURATION_START_S / 2)
    assert isinstance(refusal, DeadlineTooNearError)
    assert refusal.retry_after_s >= 1
    assert not queue


def test_backlog_counts_against_the_deadline():
    """The longer the queue, the later a deadline has to be."""
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
        queue.offer(QueuedRequest('1', 'a', 30), 0, 0)
    except DeadlineTooNearError as error:
        assert error.retry_after_s == 60
        return
    raise AssertionError('the request was queued')


def test_accounts_take_turns():
    """Many requests of one account do not delay the only one of another."""
    queue = ServiceQueue('listings')
    for _ in range(10):
        offer(queue, 'large')
    small, _ = offer(queue, 'small')
    first_two = [queue.take(0) for _ in range(2)]
    assert small in first_two


def test_full_queue_evicts_from_largest_account():
    """A full queue evicts the newest request of the account with the most."""
    queue = ServiceQueue('listings', length_max=4)
    offers = [offer(queue, 'large')[0] for _ in range(4)]
    _, evicted = offer(queue, 'small')
    assert evicted is offers[-1]
    _, refusal = offer(queue, 'large')
    assert isinstance(refusal, QueueFullError)
    assert len(queue) == 4


def test_late_requests_expire():
    """A request that cannot end in time is not taken but expires."""
    queue = ServiceQueue('listings')
    late, _ = offer(queue, 'a', 1)
    in_time, _ = offer(queue, 'a', 30)
    assert queue.take(2) is in_time
    assert queue.remove_expired(2) == [late]
    assert not queue


def test_cancelled_request_is_removed():
    """A request that its caller cancelled is not taken."""
    queue = ServiceQueue('listings')
    request, _ = offer(queue, 'a')
    assert queue.cancel(request)
    assert not queue.cancel(request)
    assert queue.take(0) is None
