"""One request under which upstream processes have ended."""

import math
from collections import deque
from collections.abc import Collection, Mapping
from itertools import pairwise

import attrs

# Ends that are as close as this may have one cause.
MOMENT_S = 1.0
# Ends in one failure domain that are as close as this count once: it may have
# lost its power.
DOMAIN_LOSS_S = 0.3
# Weight of the ends that is enough to refuse a request.
REFUSED_WEIGHT = 3
# Weight of another end at the same address: an upstream that ends again and
# again may do so by itself.
REPEATED_WEIGHT = 0.5
# Weight of the ends of a moment that probably have another cause.
OTHER_CAUSE_WEIGHT = 0.5
# From so many times on at which it ended upstreams a request probably is the
# cause: popular requests succeed in between.
REPEATED_TIMES = 3
# Bits of the parts of a run's number: domain, address, run.
RUN_BITS = 32
ADDRESS_BITS = 16
# How long a request is refused, and the factor for each further moment at which
# it has ended upstreams. A caller that was mended meanwhile waits no longer.
REFUSED_S = 60.0
REFUSED_FACTOR = 4
REFUSED_MAX_S = 3600.0
# Ends of one request that are kept, and further runs without their times.
ENDS_MAX = 16
FURTHER_RUNS_MAX = 64
# A peer's report of a success counts if it is later than the known one by
# more than this: the time that a heartbeat takes must not prolong it.
SUCCESS_REPORT_MIN_S = 0.5


@attrs.define
class Suspect:
    """A request by its fingerprint; times are boot time in seconds.

    ended_at has the ends of upstream runs while they ran the request, by
    number of the run, since it last succeeded anywhere. label describes the
    request to operators where it is known. Peers are told of it for a while
    from news_at on.
    """

    fingerprint: int
    label: str = ''
    ended_at: dict[int, float] = attrs.field(factory=dict)
    succeeded_at: float = -math.inf
    news_at: float = -math.inf
    # Further runs that ended under it, the newest.
    _further_runs: deque[int] = attrs.field(
        factory=lambda: deque(maxlen=FURTHER_RUNS_MAX)
    )

    @property
    def runs(self) -> frozenset[int]:
        """The runs that ended under it, as far as they are kept."""
        return frozenset((*self.ended_at, *self._further_runs))

    @property
    def is_repeated(self) -> bool:
        """Whether runs ended under it at several times, and no success."""
        return self._times() >= REPEATED_TIMES

    @property
    def changed_at(self) -> float:
        """When an end or a success was last recorded."""
        return max((*self.ended_at.values(), self.succeeded_at))

    def record_end(self, run: int, ended_at: float) -> bool:
        """Record that a run of an upstream ended; return whether it is news."""
        if self._has_ended(run) or ended_at <= self.succeeded_at:
            return False
        self.ended_at[run] = ended_at
        if len(self.ended_at) > ENDS_MAX:
            self._drop_closest()
        return True

    def record_success(self, succeeded_at: float) -> None:
        """Record that the request was answered; the ends before count no more.

        An earlier success than the known one changes nothing.
        """
        self.succeeded_at = max(succeeded_at, self.succeeded_at)
        self.ended_at = {
            run: at
            for run, at in self.ended_at.items()
            if at > self.succeeded_at
        }

    def learn_success(self, succeeded_at: float) -> None:
        """Record a success that a peer reports."""
        if succeeded_at > self.succeeded_at + SUCCESS_REPORT_MIN_S:
            self.record_success(succeeded_at)

    def weight(
        self, explained: Collection[int], all_ends: Mapping[int, float]
    ) -> float:
        """Return how much the ends speak against the request.

        explained are runs that ended under a request that is refused already,
        all_ends the known ends of upstreams under any request. Ends at a
        moment at which upstreams ended that did not run the request probably
        have another cause, such as the loss of a failure domain, and count
        little; of a domain's ends that are very close only one counts. Nor do
        the ends of one moment suffice by themselves.
        """
        moments = self._moments(explained)
        weight = 0
        addresses: set[int] = set()
        for moment in moments:
            if self._has_other_cause(moment, all_ends):
                weight += OTHER_CAUSE_WEIGHT
                continue
            for run in self._one_per_domain(moment):
                address = run >> RUN_BITS
                weight += REPEATED_WEIGHT if address in addresses else 1
                addresses.add(address)
        return min(weight, len(moments) + 1)

    def refused_until(self) -> float:
        """Return when a request that ended enough upstreams is tried again."""
        trials = len(self._moments(())) - REFUSED_WEIGHT
        refused_s = REFUSED_S * REFUSED_FACTOR ** max(0, trials)
        return max(self.ended_at.values()) + min(REFUSED_MAX_S, refused_s)

    def _drop_closest(self) -> None:
        """Drop the end that follows another one the most closely.

        The first and the last stay, and so do the moments.
        """
        runs = sorted(self.ended_at, key=self.ended_at.get)
        gaps = {
            run: self.ended_at[run] - self.ended_at[before]
            for before, run in pairwise(runs[:-1])
        }
        closest = min(gaps, key=gaps.get)
        self.ended_at.pop(closest)
        self._further_runs.append(closest)

    def _has_ended(self, run: int) -> bool:
        return run in self.ended_at or run in self._further_runs

    def _moments(self, explained: Collection[int]) -> list[list[int]]:
        """Return the runs that ended, the first first, grouped by moment."""
        moments: list[list[int]] = []
        for run in sorted(self.ended_at, key=self.ended_at.get):
            if run in explained:
                continue
            at = self.ended_at[run]
            if moments and at - self.ended_at[moments[-1][0]] < MOMENT_S:
                moments[-1].append(run)
            else:
                moments.append([run])
        return moments

    def _times(self) -> int:
        """Return at how many times runs ended, counting one loss once."""
        count = 0
        loss_until = -math.inf
        for at in sorted(self.ended_at.values()):
            if at > loss_until:
                count += 1
                loss_until = at + DOMAIN_LOSS_S
        return count

    def _one_per_domain(self, runs: list[int]) -> list[int]:
        """Return the runs that count, the first first."""
        counted: list[int] = []
        last_at: dict[int, float] = {}
        for run in runs:
            domain = run >> (RUN_BITS + ADDRESS_BITS)
            at = self.ended_at[run]
            if at - last_at.get(domain, -math.inf) > DOMAIN_LOSS_S:
                counted.append(run)
            last_at[domain] = at
        return counted

    def _has_other_cause(
        self, moment: list[int], all_ends: Mapping[int, float]
    ) -> bool:
        # By address, as a VM learns late that another run is there.
        own = {run >> RUN_BITS for run in (*self.ended_at, *self._further_runs)}
        since = self.ended_at[moment[0]] - MOMENT_S
        until = self.ended_at[moment[-1]] + MOMENT_S
        others = sum(
            since < at < until and run >> RUN_BITS not in own
            for run, at in all_ends.items()
        )
        # Of a cause that is not the request most ends are under others.
        others_min = len(moment) if self.is_repeated else 1
        return others >= others_min


def run_number(domain: int, address: int, run: int) -> int:
    """Return the number of an upstream's run, a signed 64-bit number.

    The arguments are hashes; of domain and address 16 bits count, of run 32.
    """
    place = (domain << ADDRESS_BITS) + (address & (2**ADDRESS_BITS - 1))
    signed = (place & (2**RUN_BITS - 1)) - 2 ** (RUN_BITS - 1)
    return (signed << RUN_BITS) + (run & (2**RUN_BITS - 1))
