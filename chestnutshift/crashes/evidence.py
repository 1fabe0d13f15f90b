"""Proof that an upstream's process ended while it ran a request.

A lost connection alone is no proof: upstreams close connections, and links
break. The process has ended if its address refuses connections soon after, if
another run answers there, or if another run registers under its id.
"""

from collections.abc import Iterator

import attrs

from chestnutshift.crashes.register import CrashRegister
from chestnutshift.crashes.suspects import run_number
from chestnutshift.fleet.heartbeats import hash_run, hash_upstream
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Condition, Upstream

# How long a proof may come after a connection was lost.
PROOF_S = 6.0
# How long a lost connection waits for other evidence before a check.
CHECK_DELAY_S = 0.2
# Lost exchanges that may wait for a proof, the newest.
LOST_MAX = 512


@attrs.define(eq=False)
class LostExchange:
    """A request whose connection broke before its answer was complete.

    is_alive tells that the upstream has answered since; then only another run
    under its id proves that it had ended.
    """

    fingerprint: int
    label: str
    upstream: Upstream
    lost_at: float
    is_alive: bool = False


@attrs.frozen
class ProvenEnd:
    """A request during which a run of an upstream ended."""

    lost: LostExchange
    proof: str


@attrs.define
class CrashEvidence:
    """Lost exchanges that wait for a proof that their upstream has ended."""

    _register: CrashRegister
    directory: UpstreamDirectory
    _lost: list[LostExchange] = attrs.field(factory=list)

    def record_lost(
        self, fingerprint: int, label: str, upstream: Upstream, now: float
    ) -> None:
        """Record a lost exchange.

        An upstream that leaves, or that has left the directory, ends by itself.
        """
        is_listed = self.directory.find(upstream.name) is upstream
        if upstream.condition is Condition.LEAVING or not is_listed:
            return
        self._lost.append(LostExchange(fingerprint, label, upstream, now))
        del self._lost[:-LOST_MAX]

    def record_alive(self, upstream: Upstream, since: float) -> None:
        """Record an answer to a request or check that began at since."""
        for lost in self._of(upstream):
            if lost.lost_at < since:
                lost.is_alive = True

    def record_refused(self, upstream: Upstream, proof: str) -> list[ProvenEnd]:
        """Record that nothing, or another run, is at the upstream's address.

        Returns the requests during which it ended.
        """
        proven = [
            ProvenEnd(lost, proof)
            for lost in self._of(upstream)
            if not lost.is_alive
        ]
        return self._prove(proven)

    def review(self, now: float) -> list[ProvenEnd]:
        """Return what registrations prove since; drop what is too old."""
        proven = [
            ProvenEnd(lost, proof)
            for lost in self._lost
            if (proof := self._proof(lost))
        ]
        self._lost = [
            lost for lost in self._lost if now - lost.lost_at < PROOF_S
        ]
        return self._prove(proven)

    def awaits_proof(self, upstream: Upstream, now: float) -> bool:
        """Return whether a check may prove that the upstream has ended.

        The next requests to it tell that sooner where there are any.
        """
        return any(
            not lost.is_alive and now - lost.lost_at >= CHECK_DELAY_S
            for lost in self._of(upstream)
        )

    def _proof(self, lost: LostExchange) -> str:
        listed = self.directory.find(lost.upstream.name)
        if listed is not None and listed is not lost.upstream:
            return 'another run'
        # Another VM, or another request, may have proved it.
        is_known = self._register.has_ended(number_run(lost.upstream))
        return 'known end' if is_known and not lost.is_alive else ''

    def _of(self, upstream: Upstream) -> Iterator[LostExchange]:
        return (lost for lost in self._lost if lost.upstream is upstream)

    def _prove(self, proven: list[ProvenEnd]) -> list[ProvenEnd]:
        """Pass on the proofs; return those that are news."""
        news = []
        done = [end.lost for end in proven]
        self._lost = [lost for lost in self._lost if lost not in done]
        for end in proven:
            lost = end.lost
            if self._register.record_end(
                lost.fingerprint,
                number_run(lost.upstream),
                lost.lost_at,
                lost.label,
            ):
                news.append(end)
        return news


def number_run(upstream: Upstream) -> int:
    """Return the number of a run of an upstream."""
    row = upstream.registration
    return run_number(
        hash_upstream(row.failure_domain),
        hash_upstream(f'{row.address}:{row.port}'),
        hash_run(row),
    )
