"""Whether this VM's route table is the newest, as far as it can tell."""

import math
from typing import TYPE_CHECKING

import attrs

from chestnutshift.fleet.peer_tables import PeerTables

if TYPE_CHECKING:
    from chestnutshift.edge.state import EdgeState

# Fraction of the store's reads that refusals may cause.
PROOF_READS_RATIO = 0.1
# For how long, as a fraction of the time within which a newer table must be in
# force, a VM may still go by its own once peers name a newer one.
OUTDATED_RATIO = 0.4


@attrs.define(eq=False)
class TableTrust:
    """The evidence for and against the route table in force.

    For it speaks a proof by the store, against it a newer version that peers
    name. Times are boot times in seconds.
    """

    _state: 'EdgeState' = attrs.field(repr=False)
    peer_tables: PeerTables = attrs.field(factory=PeerTables)
    # What keeps the newest route table of the store from being read.
    table_problem: str = ''
    # Until when a newer table that peers name may be one that the store lost.
    # At other times it is on its way to this VM, and proofs end soon.
    older_copy_until: float = -math.inf
    # Until when this VM, which has just started, waits for its peers to tell
    # whether they know a newer route table.
    hears_peers_by: float = -math.inf
    # Whether a request was refused for want of a proof since the last poll.
    _wants_proof: bool = False
    _polled_at: float = -math.inf

    @property
    def is_behind(self) -> bool:
        """Whether peers name a newer route table."""
        return self.peer_tables.newest > self._state.table_version

    def accepts_keys(self, now: float) -> bool:
        """Return whether keys may be accepted: proof is fresh or not needed."""
        state = self._state
        if not state.settings.bounds.bounds_withdrawals:
            return True
        if not state.freshness.is_fresh(now) or self.is_waiting_for_peers(now):
            return False
        may_lack_newest = now < self.older_copy_until
        return not (may_lack_newest and self.is_behind)

    def may_refuse(self, now: float) -> bool:
        """Return whether to refuse what the route table in force lacks.

        A newer one may have it. An older table must be out of force table_s
        after the store confirmed the newer one, so its proof must be younger.
        """
        if self.is_waiting_for_peers(now) or self.is_behind:
            return False
        state = self._state
        return state.freshness.age_s(now) <= state.settings.bounds.table_s

    def ask_for_proof(self) -> None:
        """Note that a request is refused for want of a proof."""
        self._wants_proof = not self.is_behind

    def is_proof_due(self, now: float) -> bool:
        """Return whether to poll the store since refusals want a proof.

        Strangers can have every VM ask, and all VMs share the store's reads.
        """
        if not self._wants_proof:
            return False
        state = self._state
        reads_rate = state.settings.store.reads_rate * PROOF_READS_RATIO
        interval_s = len(state.fleet.names) / reads_rate
        return now - self._polled_at >= interval_s

    def record_poll(self, now: float) -> None:
        """Record that the store is polled at once."""
        self._wants_proof = False
        self._polled_at = now

    def is_waiting_for_peers(self, now: float) -> bool:
        """Return whether peers have not had time to be heard since the start.

        The store may just have returned from an older copy.
        """
        return now < self.hears_peers_by and self._state.fleet.is_waiting(now)

    def is_outdated(self, now: float) -> bool:
        """Return whether requests should go by a peer's newer route table."""
        bound_s = self._state.settings.bounds.table_s
        return self.behind_s(now) > OUTDATED_RATIO * bound_s

    def behind_s(self, now: float) -> float:
        """Return for how long peers have named a newer table, 0 for none."""
        return self.peer_tables.behind_s(self._state.table_version, now)

    def record_named(self, version: int, now: float) -> None:
        """Record the version that a peer's heartbeat names."""
        self.peer_tables.record(version, self._state.table_version, now)

    def expire_named(self, now: float) -> None:
        """Forget a version that no peer has named for long."""
        state = self._state
        self.peer_tables.expire(
            (
                heartbeat.table_version
                for heartbeat in state.fleet.heartbeats(now)
            ),
            max(state.settings.bounds.withdrawal_s, state.fleet.silence_s),
            now,
        )
