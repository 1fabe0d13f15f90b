"""The echoing stand-in upstream never sees a key, in any spelling."""

import base64

import trio
from trio.testing import trio_test

from bench.one_vm import ACCOUNT, KEY
from standins.upstream import UpstreamApp, UpstreamSettings, serve_upstream
from tests.callers.clients import get
from tests.forwarding.world import AUTHORIZED, forwarding

RAW = KEY.encode()
SPELLINGS = (
    KEY,
    KEY.upper(),
    RAW.hex(),
    base64.b64encode(RAW).decode(),
    base64.urlsafe_b64encode(b'user:%b' % RAW).decode(),
    ''.join(f'%{byte:02x}' for byte in RAW),
    ''.join(f'%25{byte:02X}' for byte in RAW),
)


def _requests() -> list[bytes]:
    requests = []
    for number, spelling in enumerate(SPELLINGS):
        trailer = f'x-trailer: {spelling}'
        head = get(
            f'/listings/1?kept={number}&token={spelling}',
            AUTHORIZED,
            f'X-Api-Key: {spelling}',
            f'Proxy-Authorization: Basic {spelling}',
            f'cookie: kept=1; session={spelling}',
            f'referer: https://host/{spelling}',
            'transfer-encoding: chunked',
            'trailer: x-trailer',
            'chestnutshift-account: another',
            f'x-request-id: {spelling}',
            method='POST',
        )
        requests.append(head + f'0\r\n{trailer}\r\n\r\n'.encode())
    return requests


@trio_test
async def test_no_spelling_passes():
    """Headers, query, cookies and trailers are free of the key."""
    async with trio.open_nursery() as nursery, forwarding() as world:
        app = UpstreamApp(
            UpstreamSettings('one', 'listings', '127.0.0.1', 0),
        )
        world.add(await nursery.start(serve_upstream, app, trio.Event()))
        async with world.calling() as caller:
            for number, request in enumerate(_requests()):
                await caller.send(request)
                answer = await caller.answer()
                assert answer.status == 200, answer.body
                echo = answer.body.decode().lower()
                for spelling in SPELLINGS:
                    assert spelling.lower() not in echo
                assert f'"kept": "{number}"' in echo
                assert f'["chestnutshift-account", "{ACCOUNT}"]' in echo
                assert 'kept=1' in echo
        refused = await world.get(target=f'/listings/{KEY}')
        assert refused.status == 400
        assert refused.headers['chestnutshift-ran'] == 'no'
        nursery.cancel_scope.cancel()
