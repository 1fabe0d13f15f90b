"""What one VM heard from the platform and from the other VMs.

Freshness is worked out from it. Two cases need more than the last answers:

- A VM that was replaced may have written a withdrawal to the platform that
  no other VM heard of. It counts as silent until the platform confirmed
  something after its loss became known, or it is known to have passed on
  everything.
- A VM that just started doesn't know the withdrawals that the others took
  during an outage and haven't written down. It trusts nothing until it heard
  a VM that is complete in this sense, or all that the platform lists.
"""

from collections.abc import Iterable

import attrs

from chestnutshift.keys.freshness import (
    KnowledgeView,
    PeerView,
    confirmed_at,
)

# Incarnations remembered as cleared; each restart of a VM adds one.
CLEARED_MAX = 1000


@attrs.frozen
class PeerAnswer:
    """What a VM answers about its keys.

    `age_s`, `is_complete` and `lost` are the answering VM's own; `is_held`
    says that the asking VM now holds at least its configuration and
    withdrawals.
    """

    incarnation: str
    age_s: float | None
    is_held: bool
    is_complete: bool
    lost: frozenset[str] = frozenset()


@attrs.define
class Knowledge:
    """The answers of the platform and of the VMs with these names."""

    _peer_names: frozenset[str]
    _confirmed_at: float | None = None
    _is_complete: bool = False
    _incarnations: dict[str, str] = attrs.field(factory=dict)
    _peers: dict[str, PeerView] = attrs.field(factory=dict)
    _lost: dict[str, float] = attrs.field(factory=dict)
    _settled: set[str] = attrs.field(factory=set)
    # Cleared here: another VM that has not cleared it yet must not bring it
    # back, or two VMs would tell each other of it for ever.
    _cleared: dict[str, None] = attrs.field(factory=dict)
    _unlisted: frozenset[str] = frozenset()

    @property
    def is_complete(self) -> bool:
        """Whether withdrawals not written down yet can't be missing here."""
        return self._is_complete or not self._peer_names

    @property
    def confirmed_at(self) -> float:
        """When the platform last confirmed the keys, in seconds."""
        return confirmed_at(self.view(0))

    @property
    def lost(self) -> frozenset[str]:
        """Incarnations that may have taken what nobody else heard of."""
        return frozenset(self._lost)

    @property
    def settled(self) -> frozenset[str]:
        """Incarnations that are gone and have passed on everything."""
        return frozenset(self._settled)

    def confirm(self, asked_at: float) -> None:
        """Take note of an answer of the platform to a question asked then.

        To be called once the answer's configuration is adopted.
        """
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at
        self._clear_confirmed_losses()

    def note_list(self, listed: Iterable[str]) -> None:
        """Take note of the VMs that the platform lists as live or leaving.

        What a VM that isn't listed knew is lost, so a VM that just started
        doesn't wait for it. An empty list tells nothing.
        """
        live = frozenset(listed)
        if live:
            self._unlisted = self._peer_names - live
            self._update_completeness()

    def hear(
        self,
        name: str,
        asked_at: float,
        answer: PeerAnswer,
        now: float,
    ) -> None:
        """Take note of a VM's answer, received at the time `now`."""
        known = self._peers.get(name, PeerView()).asked_at
        if known is not None and asked_at < known:
            return
        self._record_incarnation(name, answer.incarnation, now)
        for incarnation in answer.lost - self._settled - self._cleared.keys():
            self._lost.setdefault(incarnation, now)
        # What this VM doesn't hold yet is no reason to doubt what it held.
        if answer.is_held:
            self._peers[name] = PeerView(asked_at, answer.age_s)
            self._is_complete |= answer.is_complete
            self._update_completeness()
            self._clear_confirmed_losses()

    def settle(self, incarnations: Iterable[str]) -> None:
        """Don't wait for these: they said that they stop, or an operator did.

        The set only grows, and VMs exchange it.
        """
        self._settled.update(incarnations)
        for incarnation in self._settled:
            self._lost.pop(incarnation, None)

    def view(self, trust_s: float) -> KnowledgeView:
        """Return what freshness is worked out from."""
        peers = [self._view_of(name) for name in sorted(self._peer_names)]
        peers += [PeerView() for _ in self._lost]
        return KnowledgeView(
            trust_s,
            self._confirmed_at,
            tuple(peers),
            self.is_complete,
        )

    def _view_of(self, name: str) -> PeerView:
        view = self._peers.get(name, PeerView())
        is_gone = self._incarnations.get(name) in self._settled
        return attrs.evolve(view, is_gone=is_gone)

    def _record_incarnation(self, name: str, current: str, now: float) -> None:
        previous = self._incarnations.get(name, current)
        self._incarnations[name] = current
        if previous != current and previous not in self._settled:
            self._lost.setdefault(previous, now)

    def _update_completeness(self) -> None:
        if self._is_complete:
            return
        awaited = self._peer_names - self._unlisted
        views = [self._view_of(name) for name in awaited]
        self._is_complete = all(
            view.is_gone or view.asked_at is not None for view in views
        )

    def _clear_confirmed_losses(self) -> None:
        """Forget losses that the platform's answers came after."""
        if not self._lost:
            return
        confirmed = self.confirmed_at
        for incarnation, since in self._lost.items():
            if since < confirmed:
                self._remember_cleared(incarnation)
        self._lost = {
            incarnation: since
            for incarnation, since in self._lost.items()
            if since >= confirmed
        }

    def _remember_cleared(self, incarnation: str) -> None:
        self._cleared[incarnation] = None
        if len(self._cleared) > CLEARED_MAX:
            self._cleared.pop(next(iter(self._cleared)))
