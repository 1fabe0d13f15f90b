"""Upstreams whose answers name their length in an odd way."""

import attrs
import trio
from trio.testing import trio_test

from tests.callers.clients import calling
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import SEARCH, running_edge_at
from tests.processes.world import raw_head

BODY = b'whole body'
_HEAD = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\n%btransfer-encoding: chunked\r\n\r\n'
)
# One shorter than the body, one longer.
STATED = (b'content-length: 3\r\n', b'content-length: 5000\r\n')


@attrs.define
class TwoLengthsUpstream:
    """An upstream that sends chunks, and states a length as well."""

    stated: bytes

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            while received := await stream.receive_some(65_536):
                named = REQUEST_ID.search(received)[1]
                chunks = b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY)
                if received.startswith(b'HEAD '):
                    chunks = b''
                await stream.send_all(_HEAD % (named, self.stated) + chunks)


# LOST: the length that the upstream stated beside its chunks was passed on; the
# answer did not fit, and the connection was reset with all requests on it.
@trio_test
async def test_length_stated_beside_chunks() -> None:
    """Callers get the whole body, and the connection goes on."""
    for stated in STATED:
        upstream = TwoLengthsUpstream(stated)
        async with running_edge_at(upstream.serve) as world:
            port = world.state.settings.callers.port
            async with calling(port) as caller:
                await caller.send(raw_head('HEAD', SEARCH))
                assert (await caller.answer(b'HEAD')).status == 200
                await caller.send(raw_head('GET', SEARCH) * 2)
                for _ in range(2):
                    assert (await caller.answer()).body == BODY
