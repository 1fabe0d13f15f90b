"""Answers of the pages that a VM serves itself, as ASGI messages."""

import json

from chestnutshift.forwarding.requests import Send

JSON = b'application/json'


async def send_page(
    send: Send, status: int, body: bytes, content_type: bytes = JSON
) -> None:
    """Send a complete answer."""
    headers = [
        (b'content-type', content_type),
        (b'content-length', b'%d' % len(body)),
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': headers,
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def send_document(send: Send, status: int, document: dict) -> None:
    """Send a document as JSON."""
    await send_page(send, status, json.dumps(document).encode())
