"""The steering pages: tickets, outcomes of requests, and health."""

from quart import Response, jsonify, request
from quart_trio import QuartTrio

from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding.acceptance import RequestAcceptor
from chestnutshift.forwarding.claims import (
    present_moment,
    problem_of_verdict,
    replay_headers,
)
from chestnutshift.forwarding.problems import Problem, Ran, problem_of
from chestnutshift.forwarding.requests import CallerRequest, read_request
from chestnutshift.idempotency.tickets import TICKET_LIFETIME_S
from chestnutshift.idempotency.verdicts import Replay
from chestnutshift.vms.state import VmState


def _problem_response(problem: Problem, request_id: str) -> Response:
    response = Response(problem.body(request_id), status=problem.status)
    for name, text in problem.headers(request_id):
        response.headers[name.decode()] = text.decode()
    return response


def make_steering(state: VmState, acceptor: RequestAcceptor) -> QuartTrio:
    """Return the Quart application of the steering pages."""
    app = QuartTrio('chestnutshift')

    def caller_request() -> CallerRequest:
        return read_request(request.scope)

    @app.errorhandler(CodedError)
    async def coded_error(error: CodedError) -> Response:
        problem = problem_of(error, Ran.NOT_RUN)
        return _problem_response(problem, caller_request().request_id)

    @app.post('/steering/tickets')
    async def ticket() -> Response:
        moment = present_moment()
        identity = acceptor.identify_caller(caller_request(), moment.now)
        ticket = state.ledger.issue_ticket(identity.account, moment)
        return jsonify(
            ticket=ticket,
            vm=state.name,
            url=state.url,
            lifetime_s=TICKET_LIFETIME_S,
        )

    @app.get('/steering/requests/<path:key>')
    async def outcome(key: str) -> Response:
        moment = present_moment()
        identity = acceptor.identify_caller(caller_request(), moment.now)
        verdict = await state.ledger.resolve(identity.account, key, moment)
        if not isinstance(verdict, Replay):
            problem = problem_of_verdict(verdict)
            return _problem_response(problem, caller_request().request_id)
        recorded = verdict.outcome
        response = Response(recorded.body or b'', status=recorded.status)
        for name, text in replay_headers(recorded):
            response.headers[name.decode()] = text.decode()
        return response

    @app.get('/steering/health')
    async def health() -> Response:
        return jsonify(vm=state.name, phase=state.phase)

    return app
