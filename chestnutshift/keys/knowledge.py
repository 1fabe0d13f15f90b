"""Answers of the platform and of the peers, from which freshness follows.

Two cases need more than the last answers:

- A VM that was replaced may have accepted a withdrawal that no other VM
  knows, and written it to the platform. Its incarnation counts as silent
  until the platform confirms the keys after the loss became known, or until
  the incarnation is known to have passed on everything.
- A VM that just started doesn't know the withdrawals that its peers accepted
  in an outage and have not written to the platform yet. It trusts no key
  until it has an answer of a peer that is complete in this sense, or of all
  peers that the platform lists.
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
    """The answer of a VM about its keys.

    `age_s`, `is_complete` and `lost` are those of the VM that answers.
    `is_caught_up` means that the VM that received the answer now has at least
    the configuration and withdrawals of the other.
    """

    incarnation: str
    age_s: float | None
    is_caught_up: bool
    is_complete: bool
    lost: frozenset[str] = frozenset()


@attrs.define
class Knowledge:
    """The last answers of the platform and of the peers, given their names."""

    _peer_names: frozenset[str]
    _confirmed_at: float | None = None
    _is_complete: bool = False
    _incarnations: dict[str, str] = attrs.field(factory=dict)
    _peers: dict[str, PeerView] = attrs.field(factory=dict)
    _lost: dict[str, float] = attrs.field(factory=dict)
    _settled: set[str] = attrs.field(factory=set)
    # Former members of _lost. A peer that has not cleared one yet must not
    # add it again here, or two VMs would report it to each other for ever.
    _cleared: dict[str, None] = attrs.field(factory=dict)
    _unlisted: frozenset[str] = frozenset()

    @property
    def is_complete(self) -> bool:
        """Whether no unwritten withdrawal can be missing on this VM."""
        return self._is_complete or not self._peer_names

    @property
    def confirmed_at(self) -> float:
        """When the platform last confirmed the keys, in seconds."""
        return confirmed_at(self.view(0))

    @property
    def lost(self) -> frozenset[str]:
        """Incarnations that may have accepted withdrawals unknown to others."""
        return frozenset(self._lost)

    @property
    def settled(self) -> frozenset[str]:
        """Incarnations that have stopped and passed on all they knew."""
        return frozenset(self._settled)

    def confirm(self, requested_at: float) -> None:
        """Record an answer of the platform to a request sent at `requested_at`.

        To be called once the configuration in the answer is adopted.
        """
        if self._confirmed_at is None or requested_at > self._confirmed_at:
            self._confirmed_at = requested_at
        self._clear_confirmed_losses()

    def record_vm_list(self, listed: Iterable[str]) -> None:
        """Record the VMs that the platform lists as live or leaving.

        A VM that just started doesn't wait for answers of unlisted VMs, as
        what they knew is lost. An empty list is ignored.
        """
        live = frozenset(listed)
        if live:
            self._unlisted = self._peer_names - live
            self._update_completeness()

    def record_peer_answer(
        self,
        name: str,
        requested_at: float,
        answer: PeerAnswer,
        now: float,
    ) -> None:
        """Record a peer's answer, received at the time `now`.

        An answer to an earlier request than the last one is ignored.
        """
        last_requested_at = self._peers.get(name, PeerView()).requested_at
        if last_requested_at is not None and requested_at < last_requested_at:
            return
        self._record_incarnation(name, answer.incarnation, now)
        for incarnation in answer.lost - self._settled - self._cleared.keys():
            self._lost.setdefault(incarnation, now)
        # A peer that is ahead doesn't invalidate what this VM knew before.
        if answer.is_caught_up:
            self._peers[name] = PeerView(requested_at, answer.age_s)
            self._is_complete |= answer.is_complete
            self._update_completeness()
            self._clear_confirmed_losses()

    def mark_settled(self, incarnations: Iterable[str]) -> None:
        """Stop waiting for incarnations that have passed on all they knew.

        They reported this when they stopped, or an operator declared it. The
        set of them only grows, and VMs exchange it.
        """
        self._settled.update(incarnations)
        for incarnation in self._settled:
            self._lost.pop(incarnation, None)

    def view(self, trust_s: float) -> KnowledgeView:
        """Return the view from which freshness is computed."""
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
            view.is_gone or view.requested_at is not None for view in views
        )

    def _clear_confirmed_losses(self) -> None:
        """Clear the losses noticed before the platform's last confirmation."""
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
