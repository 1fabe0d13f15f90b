"""Tell callers which VMs to use."""

import attrs

from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.beats import MemberPhase

ADDRESSES_MAX = 64
LIFETIME_S = 2.0
# With fewer VMs in the caller's failure domain its whole region is named.
DOMAIN_VMS_MIN = 2


@attrs.frozen
class EntryAnswer:
    """Where callers may connect, as address:port, and for how long."""

    addresses: tuple[str, ...]
    lifetime_s: float


@attrs.frozen
class _Entry:
    callers: str
    failure_domain: str
    region: str


def answer_lookup(
    state: EdgeState,
    region: str,
    failure_domain: str,
    now: float,
) -> EntryAnswer:
    """Return the nearest VMs that take callers."""
    entries = _serving(state, now)
    lifetime_s = min(LIFETIME_S, state.settings.bounds.lookup_lifetime_s)
    here = [one for one in entries if one.failure_domain == failure_domain]
    near = [one for one in entries if one.region == region]
    # Callers of routes with homes must not be sent to another region while
    # their own has a VM.
    chosen = here if len(here) >= DOMAIN_VMS_MIN else near or entries
    addresses = tuple(one.callers for one in chosen[:ADDRESSES_MAX])
    return EntryAnswer(addresses, lifetime_s)


def _serving(state: EdgeState, now: float) -> list[_Entry]:
    entries = [
        _Entry(
            peer.member.callers,
            peer.member.failure_domain,
            peer.member.region,
        )
        for peer in state.fleet.serving(now)
    ]
    if state.is_ready(now) or not entries:
        settings = state.settings
        own = _Entry(
            str(settings.callers),
            settings.failure_domain,
            settings.region,
        )
        if state.phase is not MemberPhase.STOPPING:
            entries.append(own)
    return entries
