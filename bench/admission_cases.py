"""Cases of load and faults that compare admission policies."""

import random
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.registry import Registry

WARM_UP_S = 20.0
# New VMs start with empty buckets. The load is light up to this time, so that
# the cases start with buckets as full as those of a fleet in use.
LIGHT_UNTIL_S = 12.0
# Loads are multiples of an account's rate.
LIGHT_LOAD = 0.2
CASE_S = 60.0
TICK_S = 0.01
LOAD = 0.9
GREEDY_LOAD = 5.0
JUMP_PERIOD_S = 10.0
RESTART_PERIOD_S = 10.0

REGIONS = ('marmara', 'ege', 'ic-anadolu')
DOMAINS = tuple(f'{region}-{part}' for region in REGIONS for part in 'ab')
SEATS = tuple(f'{domain}-{number}' for domain in DOMAINS for number in '12')
REGION_OF = {seat: seat[:-4] for seat in SEATS}
LIMITS = {
    'large': AccountLimit(200, 400),
    'middle': AccountLimit(80, 160),
    'small': AccountLimit(30, 60),
    'tiny': AccountLimit(10, 30),
}


class Fleet(Protocol):
    """A simulated fleet under one policy; see bench.admission_base."""


@attrs.define(slots=False)
class Case:
    """The load, the seat that each request reaches, and the faults."""

    fleet: Fleet
    rng: random.Random

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Return the seat that the request reaches."""
        return rng.choice(SEATS)

    def load(self, account: str) -> float:
        """Return the load as a multiple of the account's rate."""
        return LOAD

    def inject_faults(self, now: float) -> None:
        """Inject the faults that are due; called every tick."""


CASES: Registry[type[Case]] = Registry('case')
CASES.register('even')(Case)


@CASES.register('one_vm')
class OneVm(Case):
    """All requests of an account reach one VM, another for each account."""

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Return the one seat of the account."""
        return SEATS[list(LIMITS).index(account) * 3]


@CASES.register('jumping')
class Jumping(Case):
    """All requests of an account move to another failure domain at times."""

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Return one of the two seats of the current failure domain."""
        index = list(LIMITS).index(account) + int(now / JUMP_PERIOD_S) * 5
        domain = DOMAINS[index % len(DOMAINS)]
        return f'{domain}-{rng.choice("12")}'


@CASES.register('greedy_5x')
class Greedy(Case):
    """One account sends five times its rate."""

    def load(self, account: str) -> float:
        """Return a higher load for one account."""
        return GREEDY_LOAD if account == 'large' else LOAD


@attrs.define
class SingleFault(Case):
    """A fault that starts and ends once."""

    steps_done: int = 0

    def inject_faults(self, now: float) -> None:
        """Start the fault, then end it."""
        steps = ((WARM_UP_S + 5, self.start), (WARM_UP_S + 45, self.end))
        if self.steps_done < len(steps) and now >= steps[self.steps_done][0]:
            steps[self.steps_done][1](now)
            self.steps_done += 1

    def start(self, now: float) -> None:
        """Start the fault."""

    def end(self, now: float) -> None:
        """End the fault."""


@CASES.register('partition')
class Partition(SingleFault):
    """One region is cut off from the others and from the platform."""

    def start(self, now: float) -> None:
        """Cut off the last region."""
        self.fleet.cut(SEATS[8:], (*SEATS[:8], 'platform'))

    def end(self, now: float) -> None:
        """End the partition."""
        self.fleet.heal()


@CASES.register('platform_outage')
class PlatformOutage(SingleFault):
    """No VM reaches the platform's table of seats."""

    def start(self, now: float) -> None:
        """Start the outage."""
        self.fleet.set_platform(up=False)

    def end(self, now: float) -> None:
        """End the outage."""
        self.fleet.set_platform(up=True)


@CASES.register('freeze_wake')
class FreezeWake(SingleFault):
    """One VM is paused for 40 s and resumes; callers use the others."""

    def start(self, now: float) -> None:
        """Pause the VM."""
        self.fleet.suspend(SEATS[0], now)

    def end(self, now: float) -> None:
        """Resume the VM."""
        self.fleet.resume(SEATS[0], now)

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Avoid the paused VM until a second after it resumes."""
        paused = WARM_UP_S + 5 <= now < WARM_UP_S + 46
        return rng.choice(SEATS[1:] if paused else SEATS)


@CASES.register('restart')
class Restart(Case):
    """Every 10 s the VM at one seat is replaced."""

    def inject_faults(self, now: float) -> None:
        """Replace the VM at a random seat."""
        tick = round(now / TICK_S)
        if now >= WARM_UP_S and tick % round(RESTART_PERIOD_S / TICK_S) == 0:
            self.fleet.restart(self.rng.choice(SEATS), now)


@attrs.define
class Tally:
    """Counts of one account, compared with a single exact token bucket.

    A request conforms if offered_bucket, which sees all offered requests, has
    a token for it. A request is over-admitted if admitted_bucket, which sees
    all admitted requests, has no token for it.
    """

    limit: AccountLimit
    offered_bucket: TokenBucket
    admitted_bucket: TokenBucket
    offered: int = 0
    conforming: int = 0
    admitted: int = 0
    wrongfully_refused: int = 0
    over_admitted: int = 0
    held: int = 0

    def record_arrival(self, now: float) -> bool:
        """Count an offered request; return whether it conforms to the limit."""
        conforming = self.offered_bucket.take(1, now)
        if now >= WARM_UP_S:
            self.offered += 1
            self.conforming += conforming
        return conforming

    def record_decision(
        self, admitted: bool, conforming: bool, arrived_at: float, now: float
    ) -> None:
        """Count a decision that is wrong by the exact buckets."""
        if admitted and not self.admitted_bucket.take(1, now):
            self.over_admitted += 1
        if arrived_at >= WARM_UP_S:
            self.admitted += admitted
            self.wrongfully_refused += conforming and not admitted


@attrs.frozen
class HeldRequest:
    """A request that a VM holds while it asks for tokens."""

    arrived_at: float
    held_until: float
    seat: str
    account: str
    conforming: bool


HEADING = (
    f'{"case":16}{"policy":16}{"wrongful %":>11}{"worst share":>12}'
    f'{"over":>7}{"msg/s/VM":>10}{"B/s/VM":>9}{"held %":>8}'
    '  wrongful % by account'
)


@attrs.frozen
class Outcome:
    """The results of one case under one policy."""

    tallies: dict[str, Tally]
    messages_per_vm_s: float
    bytes_per_vm_s: float

    def as_line(self, case: str, policy: str) -> str:
        """Return the line of the printed table."""
        refused = sum(
            tally.wrongfully_refused for tally in self.tallies.values()
        )
        conforming = sum(tally.conforming for tally in self.tallies.values())
        worst = min(
            tally.admitted / tally.conforming for tally in self.tallies.values()
        )
        over_admitted = sum(
            tally.over_admitted for tally in self.tallies.values()
        )
        held = sum(tally.held for tally in self.tallies.values())
        parts = ' '.join(
            f'{name}={100 * tally.wrongfully_refused / tally.conforming:.3f}'
            for name, tally in self.tallies.items()
        )
        return (
            f'{case:16}{policy:16}{100 * refused / conforming:11.3f}'
            f'{worst:12.4f}{over_admitted:7d}'
            f'{self.messages_per_vm_s:10.1f}{self.bytes_per_vm_s:9.0f}'
            f'{100 * held / conforming:8.2f}  {parts}'
        )


def run_case(name: str, policy: Callable, seed: int) -> Outcome:
    """Run one case under one policy for WARM_UP_S + CASE_S."""
    # An account sends the same requests in every case.
    rngs = {account: random.Random(f'{account}:{seed}') for account in LIMITS}
    fleet = policy(SEATS, REGION_OF, LIMITS, random.Random(seed))
    case = CASES.get(name)(fleet, random.Random(seed))
    tallies = {
        account: Tally(
            limit,
            TokenBucket(limit.rate, limit.burst, limit.burst, 0),
            TokenBucket(limit.rate, limit.burst, limit.burst, 0),
        )
        for account, limit in LIMITS.items()
    }
    held_requests: list[HeldRequest] = []
    for tick in range(int((WARM_UP_S + CASE_S) / TICK_S)):
        now = tick * TICK_S
        case.inject_faults(now)
        fleet.advance(now)
        held_requests = [
            request
            for request in held_requests
            if not _retry_held(fleet, request, tallies, now)
        ]
        for moment, account in _arrivals(case, now, rngs):
            tally = tallies[account]
            conforming = tally.record_arrival(moment)
            seat = case.seat(account, now, rngs[account])
            admitted = fleet.admit(seat, account, moment)
            wait_s = getattr(fleet, 'waits', {}).get(account, 0)
            if not admitted and wait_s > 0:
                tally.held += 1
                held_requests.append(
                    HeldRequest(
                        moment, moment + wait_s, seat, account, conforming
                    )
                )
                continue
            tally.record_decision(admitted, conforming, moment, moment)
    traffic = fleet.network.traffic
    vm_seconds = (WARM_UP_S + CASE_S) * len(SEATS)
    return Outcome(
        tallies,
        traffic.messages / vm_seconds,
        traffic.sent_b / vm_seconds,
    )


def _arrivals(
    case: Case,
    now: float,
    rngs: dict[str, random.Random],
) -> Iterator[tuple[float, str]]:
    """Return the Poisson arrivals of one tick, ordered by time."""
    arrivals = []
    for account, limit in LIMITS.items():
        load = LIGHT_LOAD if now < LIGHT_UNTIL_S else case.load(account)
        rate = limit.rate * load
        moment = now + rngs[account].expovariate(rate)
        while moment < now + TICK_S:
            arrivals.append((moment, account))
            moment += rngs[account].expovariate(rate)
    return iter(sorted(arrivals))


def _retry_held(
    fleet: Fleet,
    request: HeldRequest,
    tallies: dict[str, Tally],
    now: float,
) -> bool:
    """Retry a held request; return whether it is decided."""
    admitted = fleet.admit_held(request.seat, request.account, now)
    if not admitted and now < request.held_until:
        return False
    tallies[request.account].record_decision(
        admitted, request.conforming, request.arrived_at, now
    )
    return True
