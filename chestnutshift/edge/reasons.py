"""Human-readable details of refusals, for the log and the caller."""

from collections import Counter

from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.stopping import StopSchedule
from chestnutshift.routes.model import Account
from chestnutshift.steering.choice import Choice, RequestProfile
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Upstream


def over_limit(account: Account, state: EdgeState) -> str:
    """Return the account's limit, the deciding VM and this VM's share."""
    deciders = state.deciders
    first = ''.join(deciders.ranked_in_region(account)[:1])
    decider = state.settings.vm if deciders.is_divided(account) else first
    return (
        f'the account is over {account.rate:g} requests per second and '
        f'{account.burst:g} at once; {decider} decides; if it is this VM, '
        f'its share is {state.shares.share(account.name):.2f}'
    )


def stale_keys(state: EdgeState, now: float) -> str:
    """Return why it is not certain that the route table is the newest."""
    if state.trust.is_waiting_for_peers(now):
        return (
            'this VM has just started, and its peers have not told yet whether '
            'they know a newer route table'
        )
    age_s = state.freshness.age_s(now)
    return (
        f'the proof that route table {state.table_version} is the newest is '
        f'{age_s:.1f} s old, so the key may have been withdrawn'
    )


def unproven_table(state: EdgeState, now: float) -> str:
    """Return why a newer route table than the one in force may exist."""
    version, trust = state.table_version, state.trust
    if trust.is_behind:
        newest = trust.peer_tables.newest
        return f'route table {version} is in force, and peers name {newest}'
    if trust.is_waiting_for_peers(now):
        return 'this VM has just started, and has not heard its peers yet'
    age_s = state.freshness.age_s(now)
    return f'the proof of route table {version} is {age_s:.1f} s old'


def busy(choice: Choice, allowed_s: float, now: float) -> str:
    """Return the best upstream's expected and permitted response time."""
    upstream = choice.upstream
    return (
        f'the best upstream, {upstream.name}, is expected to answer in '
        f'{choice.expected_s:.2f} s with {upstream.load(now):.0f} requests on '
        f'{upstream.slots} slots; the request allows {allowed_s:.2f} s'
    )


def stopping(stop: StopSchedule, deadline: float, now: float) -> str:
    """Return how long this VM goes on, and how long the request may."""
    return (
        f'this VM was told to stop {now - stop.began_at:.2f} s ago and ends '
        f'requests in {max(0, stop.ends_at - now):.2f} s; this one may take '
        f'{max(0, deadline - now):.2f} s'
    )


def none_usable(
    directory: UpstreamDirectory,
    profile: RequestProfile,
    now: float,
) -> str:
    """Return why each upstream of the service can't take the request."""
    counts = Counter(
        _unusable_reason(upstream, directory, profile, now)
        for upstream in directory.of_service(profile.service)
    )
    listed = ', '.join(
        f'{count} {reason}' for reason, count in sorted(counts.items())
    )
    return (
        f'no upstream of {profile.service} can take the request: '
        f'{listed or "none listed"}'
    )


def _unusable_reason(
    upstream: Upstream,
    directory: UpstreamDirectory,
    profile: RequestProfile,
    now: float,
) -> str:
    if profile.regions and upstream.region not in profile.regions:
        return 'in another region'
    if upstream.registration.failure_domain in directory.evacuated:
        return 'evacuated'
    if not directory.is_usable(upstream):
        return upstream.condition.value
    if upstream.is_paused(now):
        return 'asked for a pause'
    if upstream.is_cold(now):
        return 'cold'
    return 'tried before' if upstream.rate_limit is None else 'at its limit'
