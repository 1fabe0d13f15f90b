"""What a VM may refuse by its route table, and what speaks against it."""

import attrs

from chestnutshift.edge.admission import admit
from chestnutshift.edge.dialect import InboundRequest
from chestnutshift.edge.peer_updates import apply_heartbeats
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.heartbeats import Heartbeat, MemberPhase
from chestnutshift.forwarding.problems import RefusalError
from chestnutshift.platform.route_tables import decode_route_table
from tests.edge.factories import make_state
from tests.fleet.factories import make_member
from tests.platform.samples import route_table

NOW = 1000.0
UNKNOWN_PATH = '/none/'
KEYED_PATH = '/a/1'


def make_proven_state() -> EdgeState:
    """Return the state of a lone VM whose route table was proven at NOW."""
    state = make_state()
    state.adopt(decode_route_table(route_table()))
    state.fleet.keep_only((), NOW)
    state.freshness.record_proof(NOW)
    return state


def status_of(
    state: EdgeState, now: float, path: str = UNKNOWN_PATH, key: str = 'k1'
) -> int:
    """Return the status with which a request is refused."""
    request = InboundRequest(
        'r-1', b'GET', 'one.example', path, path.encode(), [], key=key
    )
    try:
        admit(state, request, now)
    except RefusalError as error:
        return error.problem.status
    return 0


def hear_version(state: EdgeState, version: int, now: float) -> None:
    """Let a peer name the version of its route table."""
    state.fleet.add_member(make_member('vm-2'), now)
    state.record_heartbeat(
        Heartbeat('vm-2', 1, 1, 1, MemberPhase.SERVING, version), now
    )


# CONFIG: a key or route that had been added 2.5 s before was refused, as a
# proof of 4.3 s was enough for 401, and 404 needed none.
def test_refusals_by_a_table_whose_proof_is_old() -> None:
    """A newer table may be in force by then: 503, with a time to return."""
    state = make_proven_state()
    bound_s = state.settings.bounds.table_s
    for now, no_route, no_key in (
        (NOW + bound_s, 404, 401),
        (NOW + bound_s + 0.1, 503, 503),
    ):
        assert status_of(state, now) == no_route
        assert status_of(state, now, KEYED_PATH, 'k9') == no_key
    state.freshness.record_proof(NOW + 4)
    assert status_of(state, NOW + 5) == 404


def test_refusals_where_withdrawals_have_no_bound() -> None:
    """An old proof is no reason to refuse a key, nor does it do to."""
    state = make_proven_state()
    bounds = attrs.evolve(state.settings.bounds, bounds_withdrawals=False)
    state.reload(attrs.evolve(state.settings, bounds=bounds))
    assert status_of(state, NOW + 60, KEYED_PATH) == 0
    assert status_of(state, NOW + 60, KEYED_PATH, 'k9') == 503


def test_refusals_beside_a_newer_table() -> None:
    """The peer may know the route and the key; an older one knows no more."""
    state = make_proven_state()
    hear_version(state, state.table_version, NOW)
    assert status_of(state, NOW) == 404
    state.fleet.remove_member('vm-2')
    hear_version(state, state.table_version + 1, NOW)
    assert status_of(state, NOW) == 503
    assert status_of(state, NOW, KEYED_PATH, 'k9') == 503
    assert status_of(state, NOW, KEYED_PATH) == 0
    assert not state.trust.is_proof_due(NOW)


# CONFIG: a peer that did not hear of the newer table, and read the same older
# copy of the store, would have proven the older table to a VM that did hear.
def test_peers_prove_no_older_table() -> None:
    """The proof of one peer does not count while another names a newer one."""
    state = make_proven_state()
    state.fleet.add_member(make_member('vm-3'), NOW)
    proof = Heartbeat('vm-3', 1, 1, 1, MemberPhase.SERVING, state.table_version)
    proof = attrs.evolve(proof, echoed_at=NOW + 4, proof_age_s=0)
    state.record_heartbeat(proof, NOW + 4)
    hear_version(state, state.table_version + 1, NOW + 4)
    apply_heartbeats(state, NOW + 4)
    assert state.freshness.age_s(NOW + 4) == 4
    newest = attrs.evolve(state.table, version=state.table_version + 1)
    state.adopt(newest)
    again = attrs.evolve(proof, number=2, table_version=newest.version)
    state.record_heartbeat(again, NOW + 4)
    apply_heartbeats(state, NOW + 4)
    assert state.freshness.age_s(NOW + 4) == 0


# A stranger could have every VM poll the store for each of its requests.
def test_refusals_ask_the_store_seldom() -> None:
    """All VMs together use a tenth of the reads that the store permits."""
    state = make_proven_state()
    assert not state.trust.is_proof_due(NOW + 3)
    status_of(state, NOW + 3)
    assert state.trust.is_proof_due(NOW + 3)
    for number in range(39):
        state.fleet.add_member(make_member(f'vm-1{number}'), NOW)
    state.trust.record_poll(NOW + 3)
    status_of(state, NOW + 3.1)
    interval_s = 40 / (state.settings.store.reads_rate / 10)
    assert not state.trust.is_proof_due(NOW + 3 + interval_s / 2)
    assert state.trust.is_proof_due(NOW + 3 + interval_s)
