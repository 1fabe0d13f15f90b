"""Everything that one VM knows; its tasks share it."""

import attrs

from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.follow import PlatformFollower
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.events.log import EventLog
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.freshness import KnowledgeView, PeerView
from chestnutshift.links.peer import PeerLink
from chestnutshift.platform.backends.base import Platform
from chestnutshift.upstreams.directory import UpstreamDirectory
from chestnutshift.vms.membership import Membership, Peer, VmPhase


@attrs.define
class VmState:
    """The parts of one VM, and the views that join them."""

    settings: Settings
    incarnation: str
    event_log: EventLog
    platform: Platform
    holder: ConfigurationHolder
    follower: PlatformFollower
    key_ring: KeyRing
    directory: UpstreamDirectory
    membership: Membership
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    phase: VmPhase = VmPhase.STARTING

    @property
    def name(self) -> str:
        """This VM's name."""
        return self.settings.vm.name

    @property
    def url(self) -> str:
        """Where callers reach this VM."""
        return self.settings.callers.url

    def headroom(self) -> float:
        """Return the free share of this failure domain's slots, as seen."""
        domain = self.settings.vm.failure_domain
        here = [
            upstream
            for upstream in self.directory
            if upstream.record.failure_domain == domain
        ]
        slots = sum(upstream.record.slots for upstream in here)
        if not slots:
            return 0
        return 1 - sum(upstream.in_flight for upstream in here) / slots

    def refresh_knowledge(self) -> None:
        """Let the key ring know how fresh this VM's knowledge is."""
        if not self.holder.number:
            return
        preset = self.holder.current.preset
        knowledge = KnowledgeView(
            trust_s=preset.keys.trust_s,
            confirmed_at=self.follower.confirmed_at,
            peers=tuple(
                self._peer_view(peer) for peer in self.membership.peers
            ),
        )
        self.key_ring.learn(knowledge)

    def _peer_view(self, peer: Peer) -> PeerView:
        report = peer.report
        if report is None:
            return PeerView()
        withdrawn = len(self.key_ring.withdrawals.digests)
        held = (
            report.configuration_number <= self.holder.number
            and report.withdrawal_count <= withdrawn
        )
        return PeerView(
            asked_at=peer.asked_at,
            age_s=report.knowledge_age_s,
            is_held=held,
        )
