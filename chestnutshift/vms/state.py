"""The state of one VM, shared by its tasks."""

import attrs
import trio

from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.seat_manager import SeatManager
from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import Configuration
from chestnutshift.configuration.polling import PlatformPoller
from chestnutshift.events.log import EventLog
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.retention import Sweeper
from chestnutshift.keys import events as key_events
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.cancellation import RequestCanceller
from chestnutshift.keys.freshness import Freshness
from chestnutshift.keys.knowledge import Knowledge, PeerAnswer
from chestnutshift.links.peer import PeerLink
from chestnutshift.lookup.answers import LookupAnswer, Question
from chestnutshift.metrics.measures import Measures
from chestnutshift.storage import records
from chestnutshift.storage.backends.base import Platform
from chestnutshift.vms.local_upstreams import LocalUpstreams
from chestnutshift.vms.lookups import LookupResponder
from chestnutshift.vms.membership import Membership, Peer, VmPhase
from chestnutshift.vms.steering import RegionSteering


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
    platform_poller: PlatformPoller
    membership: Membership
    key_ring: KeyRing
    knowledge: Knowledge
    request_canceller: RequestCanceller
    seat_manager: SeatManager
    admission: Admission
    ledger: Ledger
    sweeper: Sweeper
    local_upstreams: LocalUpstreams
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
        self.local_upstreams.adopt(preset)
        self.steering.adopt(configuration, now)
        self.update_key_trust()

    def update_vm_list(self, vm_list: records.VmList, now: float) -> None:
        """Apply the platform's list of VMs and upstreams."""
        self.local_upstreams.update_directory(vm_list.vms, now)
        self.knowledge.record_vm_list(
            record.vm
            for record in vm_list.vms
            if record.role is records.VmRole.ENTRY
            and record.state is not records.ListedState.GONE
        )
        self.steering.update_upstreams(
            {
                upstream.name: upstream.record.failure_domain
                for upstream in self.local_upstreams.directory
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
        count = self.request_canceller.cancel_invalid(
            digests, trio.current_time()
        )
        if count:
            self.event_log.emit(
                key_events.KEY_REQUESTS_CANCELLED,
                code='keys.withdrawn',
                count=count,
            )

    def update_key_trust(self) -> None:
        """Update the key ring with the freshness of this VM's knowledge."""
        if not self.holder.number:
            return
        trust_s = self.holder.current.preset.keys.trust_s
        self.key_ring.update_knowledge(self.knowledge.view(trust_s))

    def confirm(self, requested_at: float) -> None:
        """Record that the platform answered the poll sent at requested_at."""
        self.knowledge.confirm(requested_at)
        self.update_key_trust()

    def record_key_report(
        self, peer: Peer, requested_at: float, now: float
    ) -> None:
        """Record what a peer's report says about keys."""
        report = peer.report
        own_fingerprint = self.key_ring.withdrawals.fingerprint
        is_caught_up = (
            report.configuration_number <= self.holder.number
            and report.withdrawals_fingerprint == own_fingerprint
        )
        self.knowledge.mark_settled(report.settled)
        answer = PeerAnswer(
            incarnation=peer.incarnation,
            age_s=report.knowledge_age_s,
            is_caught_up=is_caught_up,
            is_complete=report.is_complete,
            lost=report.lost,
        )
        self.knowledge.record_peer_answer(peer.name, requested_at, answer, now)
        self.update_key_trust()

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
            self.request_canceller.check_all(now)
