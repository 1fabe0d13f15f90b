"""Everything that one VM knows; its tasks share it."""

import attrs
import trio

from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.keeper import SeatKeeper
from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.events import IN_FORCE
from chestnutshift.configuration.follow import PlatformFollower
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import Configuration
from chestnutshift.events.log import EventLog
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.keys import events as key_events
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.freshness import Freshness, KnowledgeView, PeerView
from chestnutshift.keys.watch import Watch
from chestnutshift.links.peer import PeerLink
from chestnutshift.platform.backends.base import Platform
from chestnutshift.platform.records import VmList
from chestnutshift.vms.lookups import LookupKeeper
from chestnutshift.vms.membership import Membership, Peer, VmPhase
from chestnutshift.vms.steering import RegionSteering
from chestnutshift.vms.work import LocalWork


@attrs.define
class VmState:
    """The parts of one VM, and the views that join them."""

    settings: Settings
    incarnation: str
    event_log: EventLog
    platform: Platform
    holder: ConfigurationHolder
    follower: PlatformFollower
    membership: Membership
    key_ring: KeyRing
    watch: Watch
    keeper: SeatKeeper
    admission: Admission
    ledger: Ledger
    work: LocalWork
    steering: RegionSteering
    lookups: LookupKeeper
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    phase: VmPhase = VmPhase.STARTING
    _freshness: Freshness = Freshness.UNCERTAIN

    @property
    def name(self) -> str:
        """This VM's name."""
        return self.settings.vm.name

    @property
    def url(self) -> str:
        """Where callers reach this VM."""
        return self.settings.callers.url

    def adopt(self, configuration: Configuration, now: float) -> None:
        """Bring a newer configuration into force on every part."""
        self.event_log.emit(
            IN_FORCE,
            number=configuration.number,
            preset=configuration.in_force,
        )
        preset = configuration.preset
        self.end_keys(self.key_ring.adopt(configuration), 'configuration')
        self.admission.configure(preset.accounts, now, preset.shares.loan_s)
        self.work.adopt(preset)
        self.steering.adopt(configuration, now)
        self.refresh_knowledge()

    def take_list(self, vm_list: VmList, now: float) -> None:
        """Take over the platform's list of VMs."""
        self.work.update_list(vm_list.vms, now)
        self.steering.update_upstreams(
            {
                upstream.name: upstream.record.failure_domain
                for upstream in self.work.directory
            },
        )

    def end_keys(self, digests: frozenset[str], source: str) -> None:
        """Stop everything that runs for keys that ended."""
        for digest in digests:
            self.event_log.emit(
                key_events.KEY_WITHDRAWN,
                digest=digest[:12],
                source=source,
            )
        count = self.watch.ended(digests, trio.current_time())
        if count:
            self.event_log.emit(
                key_events.KEY_STREAMS_CANCELLED,
                code='keys.withdrawn',
                count=count,
            )

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

    def note_freshness(self, now: float) -> None:
        """End keyed work when the keys can't be trusted any longer."""
        before = self._freshness
        after = self.key_ring.freshness(now)
        if after is before:
            return
        self._freshness = after
        self.event_log.emit(
            key_events.KEY_TRUST_CHANGED,
            before=before.value,
            after=after.value,
        )
        if not after.is_trusted:
            self.watch.check_all(now)

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
