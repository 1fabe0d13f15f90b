"""Look-ups: the entry VMs that a caller should use.

Every caller requests this page, so it is plain ASGI to keep it fast.
"""

import json
from collections.abc import Callable
from urllib.parse import parse_qsl

import trio

from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding.problems import (
    Problem,
    Ran,
    RefusalError,
    problem_of,
)
from chestnutshift.forwarding.requests import (
    Headers,
    Receive,
    Send,
    read_request,
)
from chestnutshift.lookup.answers import LookupAnswer, Question
from chestnutshift.lookup.documents import describe_answer

ENTRIES_PATH = '/steering/entries'
METHODS = frozenset(('GET', 'HEAD'))
_WRONG_METHOD = Problem(405, 'request.method', 'look-ups must use GET or HEAD')

# Answers a look-up at a time in seconds; raises CodedError.
AnswerFunction = Callable[[Question, float], LookupAnswer]


class EntriesPage:
    """The ASGI application of look-ups."""

    def __init__(self, answer: AnswerFunction) -> None:
        """Answer look-ups with the given function."""
        self._answer = answer

    async def __call__(
        self, scope: dict, _receive: Receive, send: Send
    ) -> None:
        """Answer one look-up."""
        try:
            answer = self._answer_lookup(scope)
        except CodedError as error:
            request_id = read_request(scope).request_id
            problem = problem_of(error, Ran.NOT_RUN)
            await _send(
                send,
                problem.status,
                problem.headers(request_id),
                problem.body(request_id),
            )
            return
        lifetime = b'max-age=%d' % int(answer.lifetime_s)
        await _send(
            send,
            200,
            [
                (b'content-type', b'application/json'),
                (b'cache-control', lifetime),
            ],
            json.dumps(describe_answer(answer)).encode(),
        )

    def _answer_lookup(self, scope: dict) -> LookupAnswer:
        if scope['method'] not in METHODS:
            raise RefusalError(_WRONG_METHOD)
        return self._answer(_read_question(scope), trio.current_time())


def _read_question(scope: dict) -> Question:
    address = scope['client'][0]
    if not scope['query_string']:
        return Question(address)
    query = dict(parse_qsl(scope['query_string'].decode('ascii')))
    return Question(address, query.get('block', ''), query.get('region', ''))


async def _send(
    send: Send,
    status: int,
    headers: Headers,
    body: bytes,
) -> None:
    headers.append((b'content-length', b'%d' % len(body)))
    await send(
        {
            'type': 'http.response.start',
            'status': int(status),
            'headers': headers,
        },
    )
    await send({'type': 'http.response.body', 'body': body})
