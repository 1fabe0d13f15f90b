"""The upstream never receives the caller's key, in any encoding.

The stand-in upstream echoes what it receives.
"""

import base64

import trio
from trio.testing import trio_test

from bench.one_vm import ACCOUNT, KEY
from standins.upstream import UpstreamApp, UpstreamSettings, serve_upstream
from tests.callers.clients import get
from tests.forwarding.world import AUTHORIZED, forwarding

KEY_BYTES = KEY.encode()
ENCODINGS = (
    KEY,
    KEY.upper(),
    KEY_BYTES.hex(),
    base64.b64encode(KEY_BYTES).decode(),
    base64.urlsafe_b64encode(b'user:%b' % KEY_BYTES).decode(),
    ''.join(f'%{byte:02x}' for byte in KEY_BYTES),
    ''.join(f'%25{byte:02X}' for byte in KEY_BYTES),
)


def _requests() -> list[bytes]:
    requests = []
    for number, encoding in enumerate(ENCODINGS):
        trailer = f'x-trailer: {encoding}'
        head = get(
            f'/listings/1?kept={number}&token={encoding}',
            AUTHORIZED,
            f'X-Api-Key: {encoding}',
            f'Proxy-Authorization: Basic {encoding}',
            f'cookie: kept=1; session={encoding}',
            f'referer: https://host/{encoding}',
            'transfer-encoding: chunked',
            'trailer: x-trailer',
            'chestnutshift-account: another',
            f'x-request-id: {encoding}',
            method='POST',
        )
        requests.append(head + f'0\r\n{trailer}\r\n\r\n'.encode())
    return requests


@trio_test
async def test_no_encoding_passes():
    """Headers, query, cookies and trailers don't contain the key."""
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
                for encoding in ENCODINGS:
                    assert encoding.lower() not in echo
                assert f'"kept": "{number}"' in echo
                assert f'["chestnutshift-account", "{ACCOUNT}"]' in echo
                assert 'kept=1' in echo
        refused = await world.get(target=f'/listings/{KEY}')
        assert refused.status == 400
        assert refused.headers['chestnutshift-ran'] == 'no'
        nursery.cancel_scope.cancel()
