"""The steering pages: which entry VM a caller should use."""

import attrs
import trio
from quart import Response, jsonify
from quart_trio import QuartTrio

from chestnutshift.vms.membership import VmPhase
from chestnutshift.vms.state import VmState


@attrs.frozen
class EntryVm:
    """One entry VM as a look-up names it."""

    vm: str
    region: str
    failure_domain: str
    url: str


def find_entries(state: VmState, now: float) -> list[EntryVm]:
    """Return the entry VMs in the order that a caller should try them."""
    own = state.settings.vm
    entries = [EntryVm(own.name, own.region, own.failure_domain, state.url)]
    for peer in state.membership.heard(now):
        report = peer.report
        if report is None or report.phase != VmPhase.LIVE:
            continue
        address = peer.address
        entries.append(
            EntryVm(
                address.name,
                address.region,
                address.failure_domain,
                address.url,
            ),
        )
    if state.phase is not VmPhase.LIVE and len(entries) > 1:
        return entries[1:]
    return entries


def make_steering(state: VmState) -> QuartTrio:
    """Return the Quart application of the steering pages."""
    app = QuartTrio('chestnutshift')

    @app.get('/steering/entries')
    async def entries() -> Response:
        preset = state.holder.current.preset
        lifetime_s = preset.lookup.lifetime_s
        named = find_entries(state, trio.current_time())
        response = jsonify(
            lifetime_s=lifetime_s,
            entries=[attrs.asdict(entry) for entry in named],
        )
        response.headers['Cache-Control'] = f'max-age={int(lifetime_s)}'
        return response

    @app.get('/steering/health')
    async def health() -> Response:
        return jsonify(vm=state.name, phase=state.phase)

    return app
