"""Quart application on the operators' port."""

import hmac
import http

import attrs
import trio
from quart import Response, jsonify, request
from quart_trio import QuartTrio

from chestnutshift.conf.exceptions import SettingsError
from chestnutshift.conf.loader import structure
from chestnutshift.configuration.codec import to_document
from chestnutshift.exceptions import CodedError
from chestnutshift.lookup.answers import Question, choose
from chestnutshift.lookup.documents import describe_answer
from chestnutshift.metrics.measures import Measures
from chestnutshift.operators.acceptance import ChangeRequest, accept
from chestnutshift.operators.exceptions import (
    BadRequestError,
    UnauthorizedError,
)
from chestnutshift.operators.status import vm_status
from chestnutshift.operators.timeline import collect_events
from chestnutshift.vms.state import VmState

STATUS_BY_CODE = {
    'configuration.conflict': http.HTTPStatus.CONFLICT,
    'configuration.invalid': http.HTTPStatus.UNPROCESSABLE_ENTITY,
    'configuration.unknown_name': http.HTTPStatus.NOT_FOUND,
    'settings.invalid': http.HTTPStatus.UNPROCESSABLE_ENTITY,
    'registry.unknown': http.HTTPStatus.NOT_FOUND,
}


def _error_response(error: CodedError) -> Response:
    status = getattr(error, 'status', None)
    status = status or STATUS_BY_CODE.get(
        error.code,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
    response = jsonify(code=error.code, detail=error.detail)
    response.status_code = int(status)
    return response


def make_operators_application(
    state: VmState,
    secret: bytes,
    measures: Measures | None = None,
) -> QuartTrio:
    """Return the application; every request needs the operators' secret.

    The status page shows the answers and refusals counted by measures.
    """
    request_measures = measures or Measures()
    app = QuartTrio('chestnutshift')

    @app.before_request
    async def authorize() -> Response | None:
        credential = request.headers.get('Authorization', '').encode()
        if hmac.compare_digest(credential, b'Bearer %b' % secret):
            return None
        return _error_response(
            UnauthorizedError("the operators' secret is missing or wrong")
        )

    @app.errorhandler(CodedError)
    async def handle_coded_error(error: CodedError) -> Response:
        return _error_response(error)

    @app.get('/status')
    async def status() -> Response:
        return jsonify(vm_status(state, request_measures, trio.current_time()))

    @app.get('/configuration')
    async def configuration() -> Response:
        return jsonify(to_document(state.holder.current))

    @app.get('/locate')
    async def locate() -> Response:
        question = Question(
            address='127.0.0.1',
            block=request.args.get('block', ''),
            region=request.args.get('region', ''),
        )
        preset = state.holder.current.preset
        view = state.lookups.directory.view
        answer = choose(question, view, preset, trio.current_time())
        return jsonify(describe_answer(answer))

    @app.post('/changes')
    async def change() -> Response:
        raw = await request.get_json(force=True, silent=True)
        try:
            change_request = structure(raw, ChangeRequest, 'change')
        except SettingsError as error:
            raise BadRequestError(error.detail) from error
        return jsonify(attrs.asdict(await accept(state, change_request)))

    @app.post('/dead')
    async def declare_dead() -> Response:
        raw = await request.get_json(force=True, silent=True)
        name = raw.get('vm') if isinstance(raw, dict) else None
        peer = state.membership.get(str(name))
        if peer is None:
            raise BadRequestError(f'no VM is named {name!r}')
        state.knowledge.mark_settled((peer.incarnation,))
        state.update_key_trust()
        return jsonify(vm=peer.name, incarnation=peer.incarnation)

    @app.get('/timeline')
    async def timeline() -> Response:
        return jsonify(await collect_events(state, request.args))

    return app
