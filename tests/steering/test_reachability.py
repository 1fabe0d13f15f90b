"""When a VM is taken to be cut off from upstreams.

Load and faults that must not look like a cut: a slow service, a service that
has ended, a failure domain that is lost, a freeze of the VM itself.
"""

from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.reachability import Reach, UpstreamReach
from chestnutshift.steering.upstreams import Upstream
from tests.steering.factories import NOW, make_directory, register

DOMAINS = ('a1', 'a2', 'b1')
CONFIRMED_AT = NOW + 0.5
SERVICES = ('listings', 'bookings')


def make_upstreams() -> tuple[UpstreamDirectory, dict[str, Upstream]]:
    """Return upstreams of two services in three failure domains, by id."""
    directory = make_directory()
    upstreams = {}
    for service in SERVICES:
        for domain in DOMAINS:
            name = f'{service}-{domain}'
            upstreams[name] = register(
                directory, name, service=service, failure_domain=domain
            )
    return directory, upstreams


def confirm(directory: UpstreamDirectory, at: float = CONFIRMED_AT) -> bool:
    """Return whether a cut is concluded while peers get answers."""
    return directory.reach.confirm(directory, at, at)


def fail(reach: UpstreamReach, *upstreams: Upstream, at: float = NOW) -> None:
    """Record a failure of each upstream."""
    for upstream in upstreams:
        reach.record_failure(upstream, at, at)


def test_one_failure_is_no_doubt() -> None:
    """A single upstream may have ended."""
    _, upstreams = make_upstreams()
    reach = UpstreamReach()
    fail(reach, upstreams['listings-a1'])
    assert reach.reach(NOW) is Reach.CONNECTED
    fail(reach, upstreams['listings-a1'])
    assert reach.reach(NOW) is Reach.CONNECTED


# RECOVER: a VM learned of each upstream by itself that it reached none.
def test_failures_in_a_row() -> None:
    """Two raise a doubt; some of each service and domain confirm it."""
    directory, upstreams = make_upstreams()
    reach = directory.reach
    fail(reach, upstreams['listings-a1'], upstreams['listings-b1'])
    assert reach.reach(NOW) is Reach.IN_DOUBT
    assert not confirm(directory)
    fail(reach, upstreams['bookings-a1'])
    assert confirm(directory)
    assert reach.reach(NOW) is Reach.CUT_OFF
    assert not confirm(directory)


def test_service_that_has_ended() -> None:
    """All upstreams of one service fail, and nobody asked the other."""
    directory, upstreams = make_upstreams()
    ended = [upstreams[f'listings-{domain}'] for domain in DOMAINS]
    fail(directory.reach, *ended)
    assert not confirm(directory)


def test_failure_domain_that_is_lost() -> None:
    """All upstreams of one failure domain fail."""
    directory, upstreams = make_upstreams()
    lost = [upstreams[f'{service}-a1'] for service in SERVICES]
    fail(directory.reach, *lost)
    assert not confirm(directory)


def test_answer_ends_doubt_and_cut() -> None:
    """It tells which failures were those of the VM's own links."""
    directory, upstreams = make_upstreams()
    reach = directory.reach
    fail(reach, *upstreams.values())
    assert not reach.record_answer(NOW + 1)
    assert reach.reach(NOW + 1) is Reach.CONNECTED
    fail(reach, *upstreams.values(), at=NOW + 2)
    confirm(directory, NOW + 3)
    assert set(reach.record_answer(NOW + 3)) == set(upstreams.values())
    assert reach.reach(NOW + 3) is Reach.CONNECTED


def test_failure_that_began_before_an_answer() -> None:
    """It shows nothing: an upstream has answered since."""
    _, upstreams = make_upstreams()
    reach = UpstreamReach()
    reach.record_answer(NOW)
    fail(reach, *upstreams.values(), at=NOW - 0.1)
    assert reach.reach(NOW) is Reach.CONNECTED


def test_slow_service_is_no_cut() -> None:
    """Attempts that take long raise a doubt at most, however many."""
    directory, upstreams = make_upstreams()
    reach = directory.reach
    for upstream in upstreams.values():
        reach.begin_attempt(upstream, 0.3, NOW)
    assert reach.reach(NOW + 0.5) is Reach.CONNECTED
    assert reach.reach(NOW + 0.7) is Reach.IN_DOUBT
    assert not confirm(directory)


# RECOVER: a VM took a slow service for a doubt that it should wait out.
def test_silence_alone() -> None:
    """Checks are waited for until an answer, or failures, explain it."""
    _, upstreams = make_upstreams()
    reach = UpstreamReach()
    for upstream in upstreams.values():
        reach.begin_attempt(upstream, 0.3, NOW)
    assert not reach.is_silence_only(NOW + 0.5)
    assert reach.is_silence_only(NOW + 0.7)
    fail(reach, upstreams['listings-a1'], at=NOW + 0.7)
    assert reach.is_silence_only(NOW + 0.7)
    fail(reach, upstreams['listings-b1'], at=NOW + 0.7)
    assert not reach.is_silence_only(NOW + 0.7)
    assert reach.reach(NOW + 0.7) is Reach.IN_DOUBT
    reach.record_answer(NOW + 0.8)
    assert not reach.is_silence_only(NOW + 0.8)


def test_long_requests_are_expected() -> None:
    """Requests that last for seconds raise no doubt before."""
    _, upstreams = make_upstreams()
    reach = UpstreamReach()
    for upstream in upstreams.values():
        reach.begin_attempt(upstream, 3.0, NOW)
    assert reach.reach(NOW + 4) is Reach.CONNECTED
    assert reach.reach(NOW + 5) is Reach.IN_DOUBT


def test_attempt_that_ended() -> None:
    """An attempt whose answer began is not silent any more."""
    _, upstreams = make_upstreams()
    reach = UpstreamReach()
    started = [
        reach.begin_attempt(upstream, 0.3, NOW)
        for upstream in upstreams.values()
    ]
    for open_attempt in started:
        reach.end_attempt(open_attempt, NOW + 0.1)
    assert reach.reach(NOW + 5) is Reach.CONNECTED
    assert not reach.needs_check(NOW + 5)


# A request ended the few upstreams one after the other, and VMs took that for
# a cut of their own links.
def test_upstreams_that_answer_nobody() -> None:
    """They may have ended: only after long silence is that like a cut."""
    directory, upstreams = make_upstreams()
    reach = directory.reach
    fail(reach, *upstreams.values())
    before = NOW - 0.2
    assert not reach.confirm(directory, before, NOW + 1)
    assert reach.reach(NOW + 1) is Reach.IN_DOUBT
    assert reach.confirm(directory, before, NOW + 2.1)


# RECOVER: a VM took eight seconds to learn that nothing passed its links, as
# its few requests were all for one object, so at one upstream.
def test_silent_attempts_at_one_upstream() -> None:
    """Two have others checked, also once their deadlines have passed."""
    directory, upstreams = make_upstreams()
    reach = directory.reach
    started = [
        reach.begin_attempt(upstreams['listings-a1'], 0.3, NOW)
        for _ in range(2)
    ]
    assert not reach.needs_check(NOW + 0.5)
    assert reach.needs_check(NOW + 1)
    for open_attempt in started:
        reach.end_attempt(open_attempt, NOW + 1)
    assert reach.needs_check(NOW + 5)
    fail(reach, upstreams['listings-b1'], at=NOW + 5)
    assert reach.reach(NOW + 5) is Reach.IN_DOUBT
    assert not confirm(directory, NOW + 5)


# The other side: requests must not leave a VM for one upstream that hangs.
def test_one_silent_upstream_is_no_doubt() -> None:
    """However many attempts it leaves silent; an answer ends the need."""
    _, upstreams = make_upstreams()
    reach = UpstreamReach()
    for step in range(9):
        open_attempt = reach.begin_attempt(
            upstreams['listings-a1'], 0.3, NOW + step
        )
        reach.end_attempt(open_attempt, NOW + step + 0.9)
        fail(reach, upstreams['listings-a1'], at=NOW + step)
    assert reach.reach(NOW + 9) is Reach.CONNECTED
    assert reach.needs_check(NOW + 9)
    reach.record_answer(NOW + 9)
    assert not reach.needs_check(NOW + 9)


def test_attempts_that_began_before_an_answer() -> None:
    """Their silence shows nothing, under way or ended."""
    _, upstreams = make_upstreams()
    reach = UpstreamReach()
    started = [
        reach.begin_attempt(upstreams['listings-a1'], 0.3, NOW)
        for _ in range(4)
    ]
    reach.record_answer(NOW + 0.1)
    assert not reach.needs_check(NOW + 2)
    for open_attempt in started:
        reach.end_attempt(open_attempt, NOW + 2)
    assert not reach.needs_check(NOW + 2)
