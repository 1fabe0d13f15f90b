"""What a VM tells a peer of a request that it passes on."""

import json
from collections.abc import Sequence

import attrs

from chestnutshift.edge.admission import (
    KEY_UNKNOWN,
    Admitted,
    check_trust,
    find_route,
    readable_table,
    refuse_unknown,
)
from chestnutshift.edge.dialect import InboundRequest
from chestnutshift.edge.state import EdgeState
from chestnutshift.forwarding.crossing import (
    Crossing,
    CrossingVerifier,
    RequestLine,
)
from chestnutshift.forwarding.exceptions import CrossingRefusedError
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.forwarding.requests import Headers
from chestnutshift.links import handshake
from chestnutshift.links.exceptions import HandshakeError
from chestnutshift.routes.model import Account, Route

TABLE_OLDER = Problem(
    503,
    'table.older',
    'this VM does not know the route table yet by which the peer decided',
)
NOT_A_PEER = Problem(
    403, 'crossing.refused', 'only VMs of the fleet may pass on requests'
)
_KEY_SIDE = 'key'


@attrs.frozen
class Progress:
    """What the sender has decided and done.

    table is the version of its route table, service the one that it chose,
    key a proof that it saw a key of the account, empty on open routes.
    sent_count counts its attempts at upstreams, tried are their ids.
    """

    service: str
    table: int
    key: str = ''
    sent_count: int = 0
    tried: Sequence[str] = ()

    def text(self) -> str:
        """Return the text to send."""
        return json.dumps(attrs.asdict(self))


def read_progress(text: str) -> Progress:
    """Return the progress that a peer sent; raises CrossingRefusedError."""
    try:
        return Progress(**json.loads(text))
    except (ValueError, TypeError) as error:
        raise CrossingRefusedError(f'malformed progress: {error}') from error


def prove_key(key: str, token: str) -> str:
    """Return a proof of a key to the VM with that token."""
    return handshake.prove(token.encode(), _KEY_SIDE, key)


def line_of(request: InboundRequest) -> RequestLine:
    """Return the parts of a request that the proof of a crossing covers."""
    return RequestLine(
        request.request_id, request.method.decode('latin-1'), request.target
    )


@attrs.frozen
class Received:
    """A request that a peer passed on, with its proof verified."""

    crossing: Crossing
    progress: Progress


@attrs.define
class CrossingReader:
    """Reads the crossings that this incarnation of a VM receives."""

    _verifier: CrossingVerifier

    def read(self, headers: Headers, request: InboundRequest) -> Received:
        """Return what the peer tells; raises RefusalError for a stranger."""
        try:
            crossing = self._verifier.read(headers, line_of(request))
            if crossing is None:
                raise CrossingRefusedError('it carries no proof of a peer')
            return Received(crossing, read_progress(crossing.progress))
        except CrossingRefusedError as error:
            detail = f'{NOT_A_PEER.detail}: {error.detail}'
            raise RefusalError(
                attrs.evolve(NOT_A_PEER, detail=detail)
            ) from error


def admit_crossing(
    state: EdgeState, request: InboundRequest, received: Received, now: float
) -> Admitted:
    """Return a peer's request with its route; raises RefusalError.

    The peer has checked the key and charged the account. This VM decides by
    its own route table, which may be newer.
    """
    table = readable_table(state)
    progress = received.progress
    if table.version < progress.table:
        raise RefusalError(TABLE_OLDER)
    route = find_route(state, request, now)
    account = None
    if table.needs_keys and not route.is_open:
        check_trust(state, now)
        account = _account(state, received, now)
    return Admitted(
        request,
        route,
        _service(state, route, progress),
        account,
        table.version,
    )


def _account(state: EdgeState, received: Received, now: float) -> Account:
    """Return the account if a key of it is the one that the peer saw."""
    name = received.crossing.account
    for key, account in state.table.account_by_key.items():
        if account.name != name:
            continue
        try:
            handshake.verify(
                state.fleet.token.encode(),
                received.progress.key,
                _KEY_SIDE,
                key,
            )
        except HandshakeError:
            # The account may have several keys.
            continue
        return account
    raise refuse_unknown(state, KEY_UNKNOWN, now)


def _service(state: EdgeState, route: Route, progress: Progress) -> str:
    """Return the service that the peer chose, if the route still has it."""
    if any(part.service == progress.service for part in route.parts):
        return progress.service
    return state.splitter.choose(route)
