"""Health checks of upstreams in doubt."""

import trio
from trio.testing import trio_test

from chestnutshift.edge.health_checks import HealthChecker
from chestnutshift.steering.upstreams import Condition
from tests.edge.world import running_edge, until


# A VM that was behind ended by itself: the schedule of a check was dropped
# before the check began.
@trio_test
async def test_check_whose_schedule_was_dropped() -> None:
    """The check runs nevertheless, and the VM goes on."""
    async with running_edge('serve') as world:
        upstream = next(iter(world.state.directory))
        due_upstreams = HealthChecker._due_upstreams  # noqa: SLF001, WPS437
        dropped = []

        def drop_at_once(checker: HealthChecker, now: float) -> list:
            """Drop the schedule as soon as the check is due."""
            due = due_upstreams(checker, now)
            for found in due:
                dropped.append(found)
                found.condition = Condition.READY
                trio.lowlevel.current_trio_token().run_sync_soon(
                    checker._schedules.clear  # noqa: SLF001, WPS437
                )
            return due

        HealthChecker._due_upstreams = drop_at_once  # noqa: SLF001, WPS437
        try:
            upstream.condition = Condition.UNPROVEN
            await until(lambda: dropped and world.upstreams[0].checks)
        finally:
            HealthChecker._due_upstreams = due_upstreams  # noqa: SLF001, WPS437
        assert (await world.ask()).status_code == 200
