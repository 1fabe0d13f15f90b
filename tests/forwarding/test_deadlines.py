"""Answers that are complete, or have not begun, as the deadline passes."""

from unittest.mock import patch

import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.forwarding import targets
from chestnutshift.forwarding.pacing import Pace
from tests.forwarding.world import ScriptedUpstream, forwarding, reply

DEADLINE_MS = 100
COMPLETE = reply(b'whole')
# A part of its body is missing.
INCOMPLETE = COMPLETE[:-1]


def _slow_link(_cap: object) -> Pace:
    """Return a pace by which each part takes longer than the deadline."""

    async def pace(_size_b: int) -> None:
        await trio.sleep(2 * DEADLINE_MS / 1000)

    return pace


def _answering_once(content: bytes) -> ScriptedUpstream:
    async def script(
        upstream: ScriptedUpstream, stream: trio.SocketStream
    ) -> None:
        await upstream.next_head(stream)
        await stream.send_all(content)
        await trio.sleep_forever()

    return ScriptedUpstream(script)


# LOST: the connection was reset where a complete answer, or a refusal, could
# still be sent: the answer counted as begun before a byte of it was sent.
@params((COMPLETE, 200), (INCOMPLETE, 504))
def test_deadline_passes_before_the_first_byte(
    content: bytes, status: int
) -> None:
    """A complete answer is delivered late; another one becomes a refusal."""

    @trio_test
    async def run() -> None:
        async with forwarding(_answering_once(content)) as world:
            answer = await world.get(
                f'chestnutshift-deadline-ms: {DEADLINE_MS}'
            )
        assert answer.status == status

    with patch.object(targets, 'paced_by', _slow_link):
        run()
