"""What a refusal was decided by, in words for the log and the caller."""

from collections import Counter

from chestnutshift.edge.state import EdgeState
from chestnutshift.routes.model import Account
from chestnutshift.steering.choice import Choice, Demand
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Upstream


def over_limit(account: Account, state: EdgeState) -> str:
    """Return the limit, who decides on it, and this VM's part of it."""
    deciders = state.deciders
    first = ''.join(deciders.near(account)[:1])
    decider = state.settings.vm if deciders.is_divided(account) else first
    return (
        f'the account is over {account.rate:g} requests per second and '
        f'{account.burst:g} at once; {decider} decides, and has '
        f'{state.shares.share(account.name):.2f} of them if it is this VM'
    )


def stale_keys(state: EdgeState, now: float) -> str:
    """Return how old the proof of the route table is."""
    version = state.table.version if state.table else 0
    age_s = state.freshness.age_s(now)
    return (
        f'the proof that table {version} is the newest is {age_s:.1f} s old, '
        'so the key may have been withdrawn'
    )


def busy(choice: Choice, useful_s: float, now: float) -> str:
    """Return what the best upstream would need, and what it may need."""
    upstream = choice.upstream
    return (
        f'the best upstream, {upstream.name}, would answer in '
        f'{choice.expected_s:.2f} s with {upstream.load(now):.0f} requests on '
        f'{upstream.slots} slots; {useful_s:.2f} s would be in time'
    )


def none_usable(
    directory: UpstreamDirectory,
    demand: Demand,
    now: float,
) -> str:
    """Return why each upstream of the service takes nothing."""
    counts = Counter(
        _state_of(upstream, directory, demand, now)
        for upstream in directory.of_service(demand.service)
    )
    listed = ', '.join(
        f'{count} {why}' for why, count in sorted(counts.items())
    )
    return (
        f'no upstream of {demand.service} takes it: {listed or "none listed"}'
    )


def _state_of(
    upstream: Upstream,
    directory: UpstreamDirectory,
    demand: Demand,
    now: float,
) -> str:
    if demand.regions and upstream.region not in demand.regions:
        return 'in another region'
    if upstream.registration.failure_domain in directory.evacuated:
        return 'evacuated'
    if not directory.is_usable(upstream):
        return upstream.condition.value
    return 'cold' if upstream.is_cold(now) else 'tried before'
