"""View of the other VMs, from their answers to this VM's heartbeats."""

import enum
import math
from collections.abc import Iterable

import attrs

from chestnutshift.conf.settings import PeerAddress
from chestnutshift.upstreams.model import ServiceLoad


class VmPhase(enum.StrEnum):
    """The phases of the life of a VM's process."""

    STARTING = 'starting'
    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class PeerReport:
    """The report on itself that a VM sends in a heartbeat.

    knowledge_age_s is the age of the platform's last confirmation of its
    keys, None if it never had one; headroom is the free fraction of its
    slots; loads holds its load by service; is_complete, lost and settled are
    those of keys.knowledge; seat_renewals counts the renewals of its seat
    that the platform confirmed.
    """

    phase: str
    configuration_number: int
    platform_reachable: bool
    knowledge_age_s: float | None
    headroom: float
    withdrawals_fingerprint: int
    is_complete: bool = False
    lost: frozenset[str] = frozenset()
    settled: frozenset[str] = frozenset()
    seat_renewals: int = 0
    loads: dict[str, ServiceLoad] = attrs.field(factory=dict)


@attrs.define
class Peer:
    """One other VM and its latest report.

    requested_at is when the newest answered heartbeat was sent, in seconds.
    """

    address: PeerAddress
    incarnation: str = ''
    requested_at: float = -math.inf
    report: PeerReport | None = None

    @property
    def name(self) -> str:
        """The VM's name."""
        return self.address.name

    def is_live(self, now: float, silence_s: float) -> bool:
        """Return whether a heartbeat of the last silence_s was answered."""
        return now - self.requested_at <= silence_s


class Membership:
    """The other VMs, by name."""

    def __init__(
        self,
        addresses: Iterable[PeerAddress],
        silence_s: float,
    ) -> None:
        """Create a peer for each address; none is live yet."""
        self._silence_s = silence_s
        self._peers = {address.name: Peer(address) for address in addresses}

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Every other VM in the settings."""
        return tuple(self._peers.values())

    def get(self, name: str) -> Peer | None:
        """Return the VM of that name, None if it is unknown."""
        return self._peers.get(name)

    def record_answer(
        self,
        name: str,
        incarnation: str,
        requested_at: float,
        report: PeerReport,
    ) -> Peer:
        """Record the answer to a heartbeat that was sent at requested_at."""
        peer = self._peers[name]
        peer.incarnation = incarnation
        peer.requested_at = max(peer.requested_at, requested_at)
        peer.report = report
        return peer

    def live_peers(self, now: float) -> tuple[Peer, ...]:
        """Return the VMs that answered a heartbeat of the last silence_s."""
        return tuple(
            peer for peer in self.peers if peer.is_live(now, self._silence_s)
        )

    def behind(self, number: int, now: float) -> tuple[str, ...]:
        """Return the VMs not known to run configuration `number` or newer."""
        reached = {
            peer.name
            for peer in self.live_peers(now)
            if peer.report and peer.report.configuration_number >= number
        }
        return tuple(sorted(self._peers.keys() - reached))
