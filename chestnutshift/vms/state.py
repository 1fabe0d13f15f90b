"""The state of one VM, shared by its tasks."""

import attrs
import trio

from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.keeper import SeatKeeper
from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.follow import PlatformFollower
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import Configuration
from chestnutshift.events.log import EventLog
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.retention import Sweeper
from chestnutshift.keys import events as key_events
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.freshness import Freshness
from chestnutshift.keys.knowledge import Knowledge, PeerAnswer
from chestnutshift.keys.watch import Watch
from chestnutshift.links.peer import PeerLink
from chestnutshift.lookup.answers import LookupAnswer, Question
from chestnutshift.metrics.measures import Measures
from chestnutshift.storage import records
from chestnutshift.storage.backends.base import Platform
from chestnutshift.vms.lookups import LookupResponder
from chestnutshift.vms.membership import Membership, Peer, VmPhase
from chestnutshift.vms.steering import RegionSteering
from chestnutshift.vms.work import LocalWork


@attrs.define
class VmState:
    """The components of one VM, and updates that concern several of them.

    links holds the links to other VMs by name; seat_renewals counts the
    renewals of the seat that the platform confirmed.
    """

    settings: Settings
    incarnation: str
    event_log: EventLog
    platform: Platform
    holder: ConfigurationHolder
    follower: PlatformFollower
    membership: Membership
    key_ring: KeyRing
    knowledge: Knowledge
    watch: Watch
    keeper: SeatKeeper
    admission: Admission
    ledger: Ledger
    sweeper: Sweeper
    work: LocalWork
    steering: RegionSteering
    lookups: LookupResponder
    measures: Measures
    links: dict[str, PeerLink] = attrs.field(factory=dict)
    phase: VmPhase = VmPhase.STARTING
    seat_renewals: int = 0
    # None until the keys are trusted for the first time.
    _freshness: Freshness | None = None

    @property
    def name(self) -> str:
        """This VM's name."""
        return self.settings.vm.name

    @property
    def url(self) -> str:
        """The URL at which callers reach this VM."""
        return self.settings.callers.url

    def adopt(self, configuration: Configuration, now: float) -> None:
        """Apply a newer configuration to every component."""
        preset = configuration.preset
        self.handle_withdrawn_keys(
            self.key_ring.adopt(configuration), 'configuration'
        )
        self.admission.configure(preset.accounts, now, preset.shares.loan_s)
        self.work.adopt(preset)
        self.steering.adopt(configuration, now)
        self.refresh_knowledge()

    def take_list(self, vm_list: records.VmList, now: float) -> None:
        """Apply the platform's list of VMs and upstreams."""
        self.work.update_directory(vm_list.vms, now)
        self.knowledge.note_list(
            record.vm
            for record in vm_list.vms
            if record.role is records.VmRole.ENTRY
            and record.state is not records.ListedState.GONE
        )
        self.steering.update_upstreams(
            {
                upstream.name: upstream.record.failure_domain
                for upstream in self.work.directory
            },
        )

    def answer_lookup(self, question: Question, now: float) -> LookupAnswer:
        """Answer one look-up; raise the errors of malformed questions."""
        return self.lookups.answer(question, self.holder.current.preset, now)

    def handle_withdrawn_keys(
        self, digests: frozenset[str], source: str
    ) -> None:
        """Log keys that were withdrawn and cancel their requests."""
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
        """Update the key ring with the freshness of this VM's knowledge."""
        if not self.holder.number:
            return
        trust_s = self.holder.current.preset.keys.trust_s
        self.key_ring.learn(self.knowledge.view(trust_s))

    def confirm(self, asked_at: float) -> None:
        """Record that the platform answered a poll of the time asked_at."""
        self.knowledge.confirm(asked_at)
        self.refresh_knowledge()

    def record_key_report(
        self, peer: Peer, asked_at: float, now: float
    ) -> None:
        """Record what a peer's report says about keys."""
        report = peer.report
        own_fingerprint = self.key_ring.withdrawals.fingerprint
        is_held = (
            report.configuration_number <= self.holder.number
            and report.withdrawals_fingerprint == own_fingerprint
        )
        self.knowledge.settle(report.settled)
        answer = PeerAnswer(
            incarnation=peer.incarnation,
            age_s=report.knowledge_age_s,
            is_held=is_held,
            is_complete=report.is_complete,
            lost=report.lost,
        )
        self.knowledge.hear(peer.name, asked_at, answer, now)
        self.refresh_knowledge()

    def update_freshness(self, now: float) -> None:
        """Log a change of the keys' freshness.

        Requests with keys are cancelled once the keys can't be trusted.
        """
        before = self._freshness
        after = self.key_ring.freshness(now)
        never_trusted = before is None and not after.is_trusted
        if after is before or never_trusted:
            return
        self._freshness = after
        if before is not None:
            self.event_log.emit(
                key_events.KEY_TRUST_CHANGED,
                before=before.value,
                after=after.value,
            )
        if not after.is_trusted:
            self.watch.check_all(now)
