"""Cases of load and faults for admission policies, and what they measure."""

import random
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.registry import Registry

WARM_UP_S = 20.0
# New VMs have empty buckets: until then the load is light, so that cases
# start with what a fleet in use has.
LIGHT_UNTIL_S = 12.0
LIGHT = 0.2
CASE_S = 60.0
TICK_S = 0.01
LOAD = 0.9
GREEDY = 5.0
JUMP_S = 10.0
RESTART_S = 10.0

REGIONS = ('marmara', 'ege', 'ic-anadolu')
DOMAINS = tuple(f'{region}-{part}' for region in REGIONS for part in 'ab')
SEATS = tuple(f'{domain}-{place}' for domain in DOMAINS for place in '12')
REGION_OF = {seat: seat[:-4] for seat in SEATS}
LIMITS = {
    'large': AccountLimit(200, 400),
    'middle': AccountLimit(80, 160),
    'small': AccountLimit(30, 60),
    'tiny': AccountLimit(10, 30),
}


class Fleet(Protocol):
    """What a case needs of a policy; see bench.admission."""


@attrs.define(slots=False)
class Case:
    """Which seat a request goes to, the load, and faults at moments."""

    fleet: Fleet
    rng: random.Random

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Return the seat that the request reaches."""
        return rng.choice(SEATS)

    def load(self, account: str) -> float:
        """Return the load as a multiple of the account's rate."""
        return LOAD

    def disturb(self, now: float) -> None:
        """Cause the faults that are due; called every tick."""


CASES: Registry[type[Case]] = Registry('case')
CASES.register('even')(Case)


@CASES.register('one_vm')
class OneVm(Case):
    """All load of each account reaches one VM of its own."""

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Return the account's own seat."""
        return SEATS[list(LIMITS).index(account) * 3]


@CASES.register('jumping')
class Jumping(Case):
    """All load of an account jumps between failure domains."""

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Return one of the two seats of the present domain."""
        index = list(LIMITS).index(account) + int(now / JUMP_S) * 5
        domain = DOMAINS[index % len(DOMAINS)]
        return f'{domain}-{rng.choice("12")}'


@CASES.register('greedy_5x')
class Greedy(Case):
    """One account sends five times its rate."""

    def load(self, account: str) -> float:
        """Return the greedy account's load, or the usual one."""
        return GREEDY if account == 'large' else LOAD


@attrs.define
class Once(Case):
    """A fault that starts and ends once."""

    done: int = 0

    def disturb(self, now: float) -> None:
        """Start the fault, then end it."""
        steps = ((WARM_UP_S + 5, self.start), (WARM_UP_S + 45, self.end))
        if self.done < len(steps) and now >= steps[self.done][0]:
            steps[self.done][1](now)
            self.done += 1

    def start(self, now: float) -> None:
        """Cause the fault."""

    def end(self, now: float) -> None:
        """Mend it."""


@CASES.register('partition')
class Partition(Once):
    """One region is cut off from the others and from the platform."""

    def start(self, now: float) -> None:
        """Cut the last region off."""
        self.fleet.cut(SEATS[8:], (*SEATS[:8], 'platform'))

    def end(self, now: float) -> None:
        """Heal."""
        self.fleet.heal()


@CASES.register('platform_outage')
class PlatformOutage(Once):
    """The platform's table can't be reached by anyone."""

    def start(self, now: float) -> None:
        """Take the platform down."""
        self.fleet.set_platform(up=False)

    def end(self, now: float) -> None:
        """Bring it back."""
        self.fleet.set_platform(up=True)


@CASES.register('freeze_wake')
class FreezeWake(Once):
    """One VM is paused for 40 s and wakes; callers use the others."""

    def start(self, now: float) -> None:
        """Pause it."""
        self.fleet.freeze(SEATS[0], now)

    def end(self, now: float) -> None:
        """Wake it."""
        self.fleet.thaw(SEATS[0], now)

    def seat(self, account: str, now: float, rng: random.Random) -> str:
        """Avoid the paused seat; it is found again a second after waking."""
        asleep = WARM_UP_S + 5 <= now < WARM_UP_S + 46
        return rng.choice(SEATS[1:] if asleep else SEATS)


@CASES.register('restart')
class Restart(Case):
    """Every 10 s the VM at one seat is replaced."""

    def disturb(self, now: float) -> None:
        """Replace the VM at a random seat."""
        tick = round(now / TICK_S)
        if now >= WARM_UP_S and tick % round(RESTART_S / TICK_S) == 0:
            self.fleet.restart(self.rng.choice(SEATS), now)


@attrs.define
class Tally:
    """Counts of one account against one perfect token bucket."""

    limit: AccountLimit
    perfect: TokenBucket
    oracle: TokenBucket
    offered: int = 0
    due: int = 0
    admitted: int = 0
    wrongful: int = 0
    over: int = 0

    held: int = 0

    def expect(self, now: float) -> bool:
        """Tell whether the perfect bucket admits a request."""
        due = self.perfect.take(1, now)
        if now >= WARM_UP_S:
            self.offered += 1
            self.due += due
        return due

    def note(
        self, admitted: bool, due: bool, arrived: float, now: float
    ) -> None:
        """Compare one decision with the perfect bucket's."""
        if admitted and not self.oracle.take(1, now):
            self.over += 1
        if arrived >= WARM_UP_S:
            self.admitted += admitted
            self.wrongful += due and not admitted


@attrs.frozen
class Held:
    """A request that a VM holds while it asks for tokens."""

    arrived: float
    ends: float
    seat: str
    account: str
    due: bool


HEADING = (
    f'{"case":16}{"policy":16}{"wrongful %":>11}{"worst share":>12}'
    f'{"over":>7}{"msg/s/VM":>10}{"B/s/VM":>9}{"held %":>8}'
    '  wrongful % by account'
)


@attrs.frozen
class Outcome:
    """What one case gave under one policy."""

    tallies: dict[str, Tally]
    messages: float
    sent_b: float

    def as_line(self, case: str, policy: str) -> str:
        """Return the table's line."""
        wrongful = sum(tally.wrongful for tally in self.tallies.values())
        due = sum(tally.due for tally in self.tallies.values())
        worst = min(
            tally.admitted / tally.due for tally in self.tallies.values()
        )
        over = sum(tally.over for tally in self.tallies.values())
        held = sum(tally.held for tally in self.tallies.values())
        parts = ' '.join(
            f'{name}={100 * tally.wrongful / tally.due:.3f}'
            for name, tally in self.tallies.items()
        )
        return (
            f'{case:16}{policy:16}{100 * wrongful / due:11.3f}{worst:12.4f}'
            f'{over:7d}{self.messages:10.1f}{self.sent_b:9.0f}'
            f'{100 * held / due:8.2f}  {parts}'
        )


def run_case(name: str, policy: Callable, seed: int) -> Outcome:
    """Run one case under one policy for WARM_UP_S + CASE_S."""
    # The same requests of an account in every case.
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
    held: list[Held] = []
    for tick in range(int((WARM_UP_S + CASE_S) / TICK_S)):
        now = tick * TICK_S
        case.disturb(now)
        fleet.advance(now)
        held = [one for one in held if not _retry(fleet, one, tallies, now)]
        for moment, account in _arrivals(case, now, rngs):
            tally = tallies[account]
            due = tally.expect(moment)
            seat = case.seat(account, now, rngs[account])
            admitted = fleet.admit(seat, account, moment)
            wait_s = getattr(fleet, 'waits', {}).get(account, 0)
            if not admitted and wait_s > 0:
                tally.held += 1
                held.append(Held(moment, moment + wait_s, seat, account, due))
                continue
            tally.note(admitted, due, moment, moment)
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
    """Return Poisson arrivals of one tick in order of time."""
    arrivals = []
    for account, limit in LIMITS.items():
        load = LIGHT if now < LIGHT_UNTIL_S else case.load(account)
        rate = limit.rate * load
        moment = now + rngs[account].expovariate(rate)
        while moment < now + TICK_S:
            arrivals.append((moment, account))
            moment += rngs[account].expovariate(rate)
    return iter(sorted(arrivals))


def _retry(
    fleet: Fleet,
    held: Held,
    tallies: dict[str, Tally],
    now: float,
) -> bool:
    """Try a held request again; tell whether it is decided."""
    admitted = fleet.admit_held(held.seat, held.account, now)
    if not admitted and now < held.ends:
        return False
    tallies[held.account].note(admitted, held.due, held.arrived, now)
    return True
