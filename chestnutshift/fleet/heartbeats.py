"""Heartbeats, by which VMs report their state to their peers."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Set
from zlib import crc32

import attrs

from chestnutshift.crashes.register import SuspectReport
from chestnutshift.fleet.store_polling import StorePosition
from chestnutshift.steering.upstreams import Registration

_SIGN_BIT = 0x80000000
_UINT32_END = 0x100000000


class MemberPhase(enum.StrEnum):
    """The lifecycle phase of a VM; only a serving one accepts callers."""

    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'


@attrs.frozen
class RateLimitReport:
    """A limit that an upstream named to any VM, age_s seconds ago.

    limit is requests per second from all VMs together, None if the upstream
    no longer names one.
    """

    limit: float | None
    age_s: float


@attrs.frozen
class Heartbeat:
    """A heartbeat: one VM's state, in seconds of the sender's boot clock.

    echoed_at is the newest sent_at that the sender received from the
    receiver, proof_age_s the age of the proof that the sender's route table
    is the newest; both are None if there is none. demand is requests per
    second by account, in_flight the sender's requests by hash of the
    upstream's id. operators_changed_at and upstreams_changed_at are the
    store's positions of the newest changes that the sender knows, so that a
    receiver notices changes that it missed. cold_for_s is how long upstreams
    stay cold, and rate_limits what they accept, by hash of the id. suspects
    are requests under which upstreams have ended, by fingerprint. leaving are
    the upstreams that said that they leave, by hash of the run. delay_s is
    how late the sender's timers fire, which grows as its processor is fully
    used. unreached are the services of which the sender reaches no upstream,
    by hash of the name. answered_age_s is how long ago any upstream answered
    the sender, None if none did. silent are the listed VMs that the sender
    does not hear, by hash of the name, None if a release does not tell; very
    many are not all named.
    """

    vm: str
    incarnation: int
    number: int
    sent_at: float
    phase: MemberPhase
    table_version: int
    echoed_at: float | None = None
    proof_age_s: float | None = None
    demand: Mapping[str, float] = attrs.field(factory=dict)
    in_flight: Mapping[int, int] = attrs.field(factory=dict)
    operators_changed_at: StorePosition = StorePosition()
    upstreams_changed_at: StorePosition = StorePosition()
    delay_s: float = 0
    cold_for_s: Mapping[int, float] = attrs.field(factory=dict)
    rate_limits: Mapping[int, RateLimitReport] = attrs.field(factory=dict)
    suspects: Mapping[int, SuspectReport] = attrs.field(factory=dict)
    leaving: Set[int] = frozenset()
    unreached: Set[int] = frozenset()
    answered_age_s: float | None = None
    silent: Set[int] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether the sender serves callers or decides on accounts."""
        return bool(self.in_flight or self.demand)

    def heard_among(self, vms: Set[int]) -> Set[int]:
        """Return the VMs of vms that the sender hears, hashed likewise.

        It is taken to hear none if its release does not tell.
        """
        return frozenset() if self.silent is None else vms - self.silent


def sum_in_flight(heartbeats: Iterable[Heartbeat]) -> Mapping[int, int]:
    """Return the senders' requests by hash of the upstream's id."""
    counts: Counter[int] = Counter()
    for heartbeat in heartbeats:
        counts.update(heartbeat.in_flight)
    return counts


def hash_upstream(name: str) -> int:
    """Return the hash of an upstream's id as a signed 32-bit number."""
    return hash_name(name)


def hash_name(name: str) -> int:
    """Return the hash of a name as a signed 32-bit number."""
    unsigned = crc32(name.encode())
    return unsigned - _UINT32_END if unsigned & _SIGN_BIT else unsigned


def hash_run(registration: Registration) -> int:
    """Return the hash of one run of an upstream, like that of an id."""
    return hash_upstream(
        f'{registration.upstream} {registration.started_at_ms}'
    )
