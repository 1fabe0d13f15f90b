"""Tests of the stand-in upstream: echo, load shedding, deadlines, faults."""

import contextlib
import hashlib
from collections.abc import AsyncIterator
from typing import Any

import attrs
import httpx
import trio
from trio.testing import trio_test

from standins.upstream import UpstreamApp, UpstreamSettings, serve_upstream

ECHO_PATH = '/listings/search'


@attrs.frozen
class Upstream:
    """Stand-in upstream with a client."""

    app: UpstreamApp
    client: httpx.AsyncClient

    async def set_faults(self, **faults: Any) -> None:
        """Set faults of the upstream."""
        await self.client.put('/standin/faults', json=faults)

    async def runs(self) -> list[dict[str, Any]]:
        """Return the requests that the upstream reports to have run."""
        response = await self.client.get('/standin/runs')
        return response.json()['runs']

    async def occupy_slot(
        self,
        path: str,
        release: trio.Event,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Occupy a slot by an upload that ends once release is set."""

        async def body() -> AsyncIterator[bytes]:
            task_status.started()
            yield b'begun'
            await release.wait()
            yield b'ended'

        await self.client.post(path, content=body())

    async def wait_for_runs(self, count: int) -> None:
        """Wait until count requests have run."""
        with trio.fail_after(30):
            while len(await self.runs()) < count:
                await trio.lowlevel.checkpoint()

    async def wait_for_load(self, in_flight: int, queued: int) -> None:
        """Wait until the upstream reports this load."""
        load: dict[str, int] = {}
        with trio.fail_after(30):
            while (load.get('in_flight'), load.get('queued')) != (
                in_flight,
                queued,
            ):
                load = (await self.client.get('/load')).json()


@contextlib.asynccontextmanager
async def open_upstream(**settings: Any) -> AsyncIterator[Upstream]:
    """Serve an upstream on a loopback port."""
    app = UpstreamApp(
        UpstreamSettings(
            name='u-1',
            service='listings',
            address='127.0.0.1',
            port=0,
            **settings,
        ),
    )
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        port = await nursery.start(serve_upstream, app, stop)
        url = f'http://127.0.0.1:{port}'
        async with httpx.AsyncClient(base_url=url, timeout=30) as client:
            yield Upstream(app, client)
        stop.set()


async def transport_error(upstream: Upstream, path: str) -> Exception:
    """Return the transport error that the request must cause."""
    try:
        await upstream.client.get(path)
    except httpx.TransportError as error:
        return error
    raise AssertionError('the answer was complete')


@trio_test
async def test_echo():
    """The echo describes the whole request and has the requested size."""
    body = b'x' * 200_000
    async with open_upstream() as upstream:
        response = await upstream.client.post(
            f'{ECHO_PATH}%2Fbay?size=300000&delay_ms=1',
            content=body,
            headers={'X-Request-Id': 'r-1', 'Chestnutshift-Account': 'a-1'},
        )
        echo = response.json()
        assert len(response.content) == 300_000
        assert echo['path'] == f'{ECHO_PATH}%2Fbay'
        assert echo['body_length'] == len(body)
        assert echo['body_sha256'] == hashlib.sha256(body).hexdigest()
        assert ['x-request-id', 'r-1'] in echo['headers']
        assert echo['run'] == 1
        assert await upstream.runs() == [
            {
                'request_id': 'r-1',
                'idempotency_key': '',
                'account': 'a-1',
                'method': 'POST',
                'path': f'{ECHO_PATH}%2Fbay',
                'count': 1,
            },
        ]


@trio_test
async def test_slots_and_shedding():
    """With one slot and a queue of one, the third request is shed."""
    async with (
        open_upstream(slots=1, queue=1) as upstream,
        trio.open_nursery() as nursery,
    ):
        release = trio.Event()
        nursery.start_soon(upstream.occupy_slot, '/first', release)
        await upstream.wait_for_load(1, 0)
        nursery.start_soon(upstream.client.get, '/second')
        await upstream.wait_for_load(1, 1)
        shed = await upstream.client.get('/third')
        assert shed.status_code == httpx.codes.SERVICE_UNAVAILABLE
        assert shed.headers['chestnutshift-ran'] == 'no'
        assert shed.headers['retry-after'] == '1'
        release.set()
        await upstream.wait_for_load(0, 0)
        paths = [run['path'] for run in await upstream.runs()]
        assert paths == ['/first', '/second']


@trio_test
async def test_deadline():
    """A request past its deadline gets 504, which says whether it ran."""
    deadline = {'Chestnutshift-Deadline-Ms': '200'}
    async with (
        open_upstream(slots=1) as upstream,
        trio.open_nursery() as nursery,
    ):
        late = await upstream.client.get('/x?delay_ms=60000', headers=deadline)
        assert (late.status_code, late.json()) == (504, {'ran': True})
        release = trio.Event()
        nursery.start_soon(upstream.occupy_slot, '/y', release)
        await upstream.wait_for_load(1, 0)
        late = await upstream.client.get('/z', headers=deadline)
        assert (late.status_code, late.json()) == (504, {'ran': False})
        release.set()
        await upstream.wait_for_load(0, 0)
        assert [run['path'] for run in await upstream.runs()] == ['/x', '/y']


@trio_test
async def test_client_disconnect_frees_slot():
    """A request ends and frees its slot when the client disconnects."""
    async with open_upstream(slots=1) as upstream:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(upstream.client.get, '/x?delay_ms=60000')
            await upstream.wait_for_load(1, 0)
            nursery.cancel_scope.cancel()
        await upstream.wait_for_load(0, 0)
        assert (await upstream.client.get('/x')).json()['run'] == 2


@trio_test
async def test_incomplete_upload_is_not_run():
    """A request with an incomplete body is not counted as run."""
    async with open_upstream(slots=1) as upstream:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(upstream.occupy_slot, '/x', trio.Event())
            await upstream.wait_for_load(1, 0)
            nursery.cancel_scope.cancel()
        await upstream.wait_for_load(0, 0)
        assert not await upstream.runs()


@trio_test
async def test_truncated_answer_and_leaving():
    """A leaving upstream reports it; a fault can truncate an answer."""
    async with open_upstream() as upstream:
        await upstream.set_faults(leaving=True, break_after_b=1000)
        health = await upstream.client.get('/health')
        assert health.json() == {'status': 'draining', 'leaving': True}
        small = await upstream.client.get(ECHO_PATH)
        assert small.headers['chestnutshift-leaving'] == 'yes'
        error = await transport_error(upstream, f'{ECHO_PATH}?size=500000')
        assert '1000' in str(error)


@trio_test
async def test_frozen_upstream():
    """A frozen upstream accepts requests but does not answer."""
    async with open_upstream() as upstream:
        await upstream.set_faults(freeze=True)
        with trio.move_on_after(0.2):
            await upstream.client.get(ECHO_PATH)
            raise AssertionError('a frozen upstream answered')
        await upstream.set_faults(freeze=False)
        assert (await upstream.client.get(ECHO_PATH)).json()['run'] == 1


@trio_test
async def test_connection_limit():
    """A connection over the limit is closed without an answer."""
    async with (
        open_upstream(max_connections=1) as upstream,
        trio.open_nursery() as nursery,
    ):
        release = trio.Event()
        await nursery.start(upstream.occupy_slot, ECHO_PATH, release)
        error = await transport_error(upstream, '/load')
        assert 'without sending a response' in str(error)
        release.set()


@trio_test
async def test_stale_and_multiplied_report():
    """Faults can multiply the reported load or make it stale."""
    async with (
        open_upstream(slots=2) as upstream,
        trio.open_nursery() as nursery,
    ):
        release = trio.Event()
        await upstream.set_faults(report_factor=3)
        nursery.start_soon(upstream.occupy_slot, ECHO_PATH, release)
        await upstream.wait_for_load(3, 0)
        await upstream.set_faults(report_lag_s=1000)
        release.set()
        await upstream.wait_for_runs(1)
        await upstream.wait_for_load(3, 0)
        await upstream.set_faults(report_lag_s=0)
        await upstream.wait_for_load(0, 0)
