"""What a VM gives up once it finds that it reaches no upstream."""

from unittest.mock import patch

from trio.testing import trio_test

from chestnutshift.edge.reach_monitor import ReachMonitor
from chestnutshift.steering.reachability import Reach, UpstreamReach
from tests.edge.factories import make_state
from tests.steering.factories import register

NOW = 1000.0


# A complete answer must not be thrown away, nor a begun one cut, as the VM is
# found cut off: only silent attempts are cancelled then.
@trio_test
async def test_answers_that_have_begun_are_kept() -> None:
    """An attempt is cancelled only until the head of its answer is here."""
    state = make_state()
    upstream = register(state.directory, 'i-1')
    monitor = ReachMonitor(state)
    with (
        monitor.watching(upstream, 1, NOW) as silent,
        monitor.watching(upstream, 1, NOW) as answered,
        patch.object(UpstreamReach, 'reach', return_value=Reach.IN_DOUBT),
        patch.object(UpstreamReach, 'confirm', return_value=True),
    ):
        monitor.record_head(answered, NOW)
        monitor.review(NOW)
        assert silent.scope.cancel_called
        assert not answered.scope.cancel_called
