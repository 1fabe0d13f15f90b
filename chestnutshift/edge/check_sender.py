"""Send one health check to an upstream."""

import math

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge.attempts import UpstreamPool, discard_body
from chestnutshift.edge.dialect import AnswerFacts, Dialect
from chestnutshift.edge.state import EdgeState
from chestnutshift.steering.upstreams import Upstream
from chestnutshift.upstreams.connection import UpstreamAnswer

CONNECTIONS_MAX = 8


@attrs.frozen
class CheckAnswer:
    """The head of the answer to a health check."""

    status: int
    facts: AnswerFacts


@attrs.frozen
class CheckSender:
    """Sends health checks over the connections of requests."""

    _state: EdgeState
    _dialect: Dialect
    _pool: UpstreamPool

    async def send(
        self, upstream: Upstream, idle_s: float = math.inf
    ) -> CheckAnswer:
        """Return the answer; raises UpstreamError.

        A connection that was idle for longer than idle_s is not used.
        """
        registration = upstream.registration
        table = self._state.table
        service = table.services.get(registration.service) if table else None
        path = service.health_path if service else '/'
        host = f'{registration.address}:{registration.port}'
        request = self._dialect.write_health_check(path, host)
        answers: list[CheckAnswer] = []

        async def read_all(answer: UpstreamAnswer) -> None:
            facts = self._dialect.read_answer(answer.headers)
            self._state.upstream_reports.record_head(
                upstream, answer.status, facts, boot_time(), source='check'
            )
            answers.append(CheckAnswer(answer.status, facts))
            await discard_body(answer)

        connections = self._pool.connections(upstream, CONNECTIONS_MAX)
        connection = await connections.acquire(idle_s)
        await connections.exchange(connection, request, b'', read_all)
        return answers[0]
