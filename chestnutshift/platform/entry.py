"""The endpoints that the platform calls: readiness and look-ups."""

from urllib.parse import parse_qsl

from chestnutshift.clocks import boot_time
from chestnutshift.edge.lookups import answer_lookup
from chestnutshift.edge.pages import send_document, send_page
from chestnutshift.edge.state import EdgeState
from chestnutshift.forwarding.requests import Receive, Send
from chestnutshift.platform import names
from chestnutshift.platform.durations import write_duration

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_UNAVAILABLE = 503


class EntryApplication:
    """The ASGI application of the readiness and look-up ports."""

    def __init__(self, state: EdgeState) -> None:
        """Create the application for the state of one VM."""
        self._state = state

    async def __call__(
        self, scope: dict, _receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        path = scope['raw_path'].decode('latin-1')
        if path == names.READINESS_PATH:
            is_ready = self._state.is_ready(boot_time())
            status = HTTP_OK if is_ready else HTTP_UNAVAILABLE
            await send_page(send, status, b'')
        elif path == names.LOOKUP_PATH:
            await self._look_up(scope, send)
        else:
            await send_page(send, HTTP_NOT_FOUND, b'')

    async def _look_up(self, scope: dict, send: Send) -> None:
        query = dict(parse_qsl(scope['query_string'].decode('latin-1')))
        answer = answer_lookup(
            self._state,
            query.get('region', ''),
            query.get('zone', ''),
            boot_time(),
        )
        if not answer.addresses:
            await send_page(send, HTTP_UNAVAILABLE, b'')
            return
        document = {
            'addrs': answer.addresses,
            'ttl': write_duration(answer.lifetime_s),
        }
        await send_document(send, HTTP_OK, document)
