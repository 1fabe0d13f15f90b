"""The page on which operators see and allow requests that are refused."""

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.crashes.suspects import Suspect
from chestnutshift.edge import events
from chestnutshift.edge.crash_guard import format_fingerprint
from chestnutshift.edge.pages import send_document
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.share_holders import sender_names
from chestnutshift.forwarding.requests import Receive, Send

CRASHING_PATH = '/crashing-requests'
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_METHOD_NOT_ALLOWED = 405


@attrs.define
class CrashingPage:
    """The ASGI application of the page.

    GET lists the refused requests; DELETE of one, by its fingerprint, allows
    it again at all VMs, as an answer to it would.
    """

    _state: EdgeState

    async def __call__(
        self, scope: dict, _receive: Receive, send: Send
    ) -> None:
        """Answer one HTTP request."""
        named = scope['path'].removeprefix(CRASHING_PATH).strip('/')
        now = boot_time()
        if scope['method'] == 'GET' and not named:
            refused = self._state.crashes.refused()
            rows = [self._row(suspect, now) for suspect in refused]
            await send_document(send, HTTP_OK, {'refused': rows})
        elif scope['method'] == 'DELETE' and named:
            await self._allow(named, send, now)
        else:
            await send_document(send, HTTP_METHOD_NOT_ALLOWED, {})

    async def _allow(self, named: str, send: Send, now: float) -> None:
        for suspect in self._state.crashes:
            if format_fingerprint(suspect.fingerprint) == named:
                suspect.record_success(now)
                self._state.event_log.emit(
                    events.REQUEST_ALLOWED,
                    fingerprint=named,
                    label=suspect.label,
                )
                await send_document(send, HTTP_OK, {'allowed': named})
                return
        await send_document(send, HTTP_NOT_FOUND, {})

    def _row(self, suspect: Suspect, now: float) -> dict[str, object]:
        vms = sender_names(self._state.fleet, now)
        until = self._state.crashes.refused_until(suspect, vms)
        return {
            'fingerprint': format_fingerprint(suspect.fingerprint),
            'label': suspect.label,
            'ends': len(suspect.ended_at),
            'refused_for_s': round(max(0, until - now), 1),
        }
