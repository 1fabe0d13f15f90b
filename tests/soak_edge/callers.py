"""Callers of the soak: they keep connections until these are gone."""

import itertools
import time

import attrs
import httpx
import trio

from tests.soak_edge.promises import Sent
from tests.soak_edge.world import SoakWorld

PAUSE_S = (0, 0.06)
DEADLINE_MS = 4000
PATIENCE_S = 6.0
BOOK_PART = 0.4
STALE_KEY_PART = 0.1
# Requests after which a caller changes its VM.
MOVE_PART = 0.02
OK = 200


@attrs.define
class Callers:
    """Send requests with numbers of their own, and note every ending."""

    world: SoakWorld
    _numbers: itertools.count = attrs.field(factory=itertools.count)

    async def run(self) -> None:
        """Send until cancelled, to one VM after the other."""
        while True:  # noqa: WPS457
            vm = self.world.rng.choice(self.world.vms)
            await self._stay_with(vm.callers)

    async def send(self, client: httpx.AsyncClient) -> Sent:
        """Send one request; return and note how it ended."""
        rng = self.world.rng
        is_book = rng.random() < BOOK_PART
        keys = self.world.keys
        if rng.random() < STALE_KEY_PART:
            keys = list(self.world.accounts)
        request = f'r-{next(self._numbers)}'
        body = f'body of {request}'.encode() if is_book else b''
        one = Sent(
            request, rng.choice(keys), not is_book, body, time.monotonic()
        )
        try:
            found = await client.request(
                'POST' if is_book else 'GET',
                '/b/1' if is_book else '/a/1',
                headers=_headers(one),
                content=body,
            )
            one = attrs.evolve(one, status=found.status_code, text=found.text)
        except httpx.HTTPError:
            # No whole answer: the request may have run or not.
            one = attrs.evolve(one, status=None)
        finally:
            # A request that the soak's end cuts off was sent as well.
            self.world.sent.append(one)
        return one

    async def served_by(self, url: str) -> None:
        """Return once a VM serves a request."""
        while True:
            async with httpx.AsyncClient(
                base_url=url, timeout=PATIENCE_S
            ) as client:
                one = await self.send(client)
            if one.status == OK:
                return
            await trio.sleep(0.2)

    async def _stay_with(self, url: str) -> None:
        """Send on kept connections until they break, or for a while."""
        rng = self.world.rng
        async with httpx.AsyncClient(
            base_url=url, timeout=PATIENCE_S
        ) as client:
            while rng.random() > MOVE_PART:
                one = await self.send(client)
                if one.status is None:
                    return
                await trio.sleep(rng.uniform(*PAUSE_S))


def _headers(one: Sent) -> dict[str, str]:
    return {
        'host': 'one.example',
        'x-chestnutshift-request-id': one.request,
        'x-chestnutshift-deadline-ms': str(DEADLINE_MS),
        'x-chestnutshift-affinity-key': str(len(one.request)),
        'authorization': f'Token {one.key}',
    }
