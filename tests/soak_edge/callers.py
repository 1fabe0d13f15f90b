"""Callers of the soak, which reuse connections until these break."""

import itertools
import math
import time
from contextlib import suppress

import attrs
import httpx
import trio

from tests.soak_edge.connections import staying
from tests.soak_edge.deployment import SoakDeployment
from tests.soak_edge.guarantees import SentRequest
from tests.soak_edge.upstreams import CRASH_MARK
from tests.soak_edge.vms import SoakVm

PAUSE_S = (0, 0.06)
CRASH_PAUSE_S = (0.05, 0.6)
DEADLINE_MS = 4000
REQUEST_TIMEOUT_S = 6.0
BOOKING_PROBABILITY = 0.4
# A key is chosen from all keys, also withdrawn ones, with this probability.
STALE_KEY_PROBABILITY = 0.1
# A caller changes its VM after a request with this probability.
MOVE_PROBABILITY = 0.02
OK = 200
SENT_WHOLE_EVENT = 'send_request_body.complete'
CLOSED_BY_VM = (
    httpx.ReadError,
    httpx.WriteError,
    httpx.RemoteProtocolError,
)


@attrs.define
class SentWhole:
    """When a client had sent the last byte of a request, infinite if not."""

    at: float = math.inf

    async def note(self, event: str, _facts: object) -> None:
        """Note the event of a client, by its name."""
        if event.endswith(SENT_WHOLE_EVENT):
            self.at = time.monotonic()


@attrs.define
class Callers:
    """Callers that send numbered requests and record every outcome."""

    deployment: SoakDeployment
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self) -> None:
        """Send until cancelled, to one random VM after the other."""
        while True:  # noqa: WPS457
            vm = self.deployment.rng.choice(self.deployment.vms)
            await self._send_to_vm(vm.callers_url)

    async def send_steadily(self, vm: SoakVm) -> None:
        """Send to one VM until cancelled, on new connections after breaks."""
        while True:
            await self._send_to_vm(vm.callers_url)

    async def send(self, client: httpx.AsyncClient) -> SentRequest:
        """Send one request; record and return its outcome."""
        with staying(self.deployment):
            return await self._send(client)

    async def repeat_crashing(self) -> None:
        """Send the same crashing request to one VM after the other."""
        while True:
            vm = self.deployment.rng.choice(self.deployment.vms)
            async with httpx.AsyncClient(
                base_url=vm.callers_url, verify=False, timeout=REQUEST_TIMEOUT_S
            ) as client:
                with suppress(httpx.HTTPError):
                    await client.get(f'/a/{CRASH_MARK}', headers=self._crash())
            await trio.sleep(self.deployment.rng.uniform(*CRASH_PAUSE_S))

    async def wait_until_served(self, url: str) -> None:
        """Send requests to a VM until it answers one with 200."""
        while True:
            async with httpx.AsyncClient(
                base_url=url, verify=False, timeout=REQUEST_TIMEOUT_S
            ) as client:
                request = await self.send(client)
            if request.status == OK:
                return
            await trio.sleep(0.2)

    async def _send(self, client: httpx.AsyncClient) -> SentRequest:
        rng = self.deployment.rng
        is_booking = rng.random() < BOOKING_PROBABILITY
        keys = self.deployment.keys
        if rng.random() < STALE_KEY_PROBABILITY:
            keys = list(self.deployment.issued_keys)
        request_id = f'r-{next(self.deployment.numbers)}'
        body = f'body of {request_id}'.encode() if is_booking else b''
        request = SentRequest(
            request_id,
            rng.choice(keys),
            not is_booking,
            body,
            time.monotonic(),
            vm=str(client.base_url).rstrip('/'),
            path='/b/1' if is_booking else '/a/1',
            limit_s=DEADLINE_MS / 1000,
        )
        sent = SentWhole()
        has_begun = False
        try:
            async with client.stream(
                'POST' if is_booking else 'GET',
                request.path,
                headers=_headers(request),
                content=body,
                extensions={'trace': sent.note},
            ) as answer:
                has_begun = True
                await answer.aread()
            request = attrs.evolve(
                request, status=answer.status_code, text=answer.text
            )
        # No complete answer: the request may or may not have run.
        except CLOSED_BY_VM:
            request = attrs.evolve(
                request, is_closed=not has_begun, is_cut=has_begun
            )
        except httpx.ReadTimeout:
            request = attrs.evolve(request, is_unanswered=True)
        except httpx.HTTPError:
            request = attrs.evolve(request, status=None)
        finally:
            # Also record a request that is cancelled at the end of the soak.
            request = attrs.evolve(
                request, whole_at=sent.at, ended_at=time.monotonic()
            )
            self.deployment.sent_requests.append(request)
        return request

    def _crash(self) -> dict[str, str]:
        request_id = f'c-{next(self._numbers)}'
        key = self.deployment.keys[0]
        return _headers(
            SentRequest(request_id, key, True, b'', time.monotonic())
        )

    async def _send_to_vm(self, url: str) -> None:
        """Send on reused connections until one breaks or the VM changes."""
        rng = self.deployment.rng
        async with httpx.AsyncClient(
            base_url=url, verify=False, timeout=REQUEST_TIMEOUT_S
        ) as client:
            while rng.random() > MOVE_PROBABILITY:
                request = await self.send(client)
                if request.status is None:
                    return
                await trio.sleep(rng.uniform(*PAUSE_S))


def _headers(request: SentRequest) -> dict[str, str]:
    return {
        'host': 'one.example',
        'x-chestnutshift-request-id': request.request_id,
        'x-chestnutshift-deadline-ms': str(DEADLINE_MS),
        'x-chestnutshift-affinity-key': str(len(request.request_id)),
        'authorization': f'Token {request.key}',
    }
