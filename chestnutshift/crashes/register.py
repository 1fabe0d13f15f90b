"""Register of the requests under which upstream processes have ended.

All VMs tell each other what they know of suspects, so that each judges by the
ends of the whole fleet, and one that has restarted learns them again.
"""

import enum
import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping, Sequence

import attrs

from chestnutshift.crashes.suspects import REFUSED_WEIGHT, Suspect
from chestnutshift.rendezvous import score

# Suspects that are kept, those with many ends and then the newest.
SUSPECTS_MAX = 256
# Ends of upstreams that are kept, the newest.
ENDS_MAX = 512
# Requests of which the last success is kept, the newest.
SUCCESSES_MAX = 4096
# An end or a success counts for this long.
KEPT_S = 7200.0
# Suspects in one heartbeat, and how long news of one that is not refused are
# told.
REPORTS_MAX = 16
NEWS_TOLD_S = 5.0
# Once a request is not refused any more, one VM after the other tries it, so
# that each learns whether it has ended another upstream.
TRIAL_GAP_S = 3.0


class Standing(enum.StrEnum):
    """What is known against a request."""

    CLEAR = 'clear'
    # Upstreams have ended under it; an attempt that is lost is the last one.
    SUSPECT = 'suspect'
    REFUSED = 'refused'
    # It was refused; it is tried at one upstream at a time.
    ON_TRIAL = 'on_trial'


@attrs.frozen
class SuspectReport:
    """What a VM tells of a suspect; ages in seconds, by number of the run."""

    ended_ages_s: Mapping[int, float] = attrs.field(factory=dict)
    success_age_s: float | None = None


@attrs.define
class CrashRegister:
    """What this VM knows of suspects, by fingerprint."""

    _vm: str
    _suspects: dict[int, Suspect] = attrs.field(factory=dict)
    # When requests last succeeded, the newest last: the proof of an end, or a
    # peer's report, may come after a success.
    _succeeded_at: OrderedDict[int, float] = attrs.field(factory=OrderedDict)
    # When runs ended, also under requests that have succeeded since.
    _ended_at: dict[int, float] = attrs.field(factory=dict)

    def __iter__(self) -> Iterable[Suspect]:
        """Iterate over the suspects."""
        return iter(tuple(self._suspects.values()))

    def find(self, fingerprint: int) -> Suspect | None:
        """Return the suspect of that fingerprint, None if there is none."""
        return self._suspects.get(fingerprint)

    def standing(
        self, fingerprint: int, vms: Sequence[str], now: float
    ) -> Standing:
        """Return what is known against a request.

        vms are the live VMs, which try a request in turn once it may run again.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.ended_at:
            return Standing.CLEAR
        if not self._is_crashing(suspect):
            return Standing.SUSPECT
        if now < self.refused_until(suspect, vms):
            return Standing.REFUSED
        return Standing.ON_TRIAL

    def refused_until(self, suspect: Suspect, vms: Sequence[str]) -> float:
        """Return when this VM tries a refused request again (boot time)."""
        key = b'%d' % suspect.fingerprint
        ranked = sorted(vms, key=lambda vm: score(key, vm), reverse=True)
        rank = ranked.index(self._vm) if self._vm in ranked else len(ranked)
        return suspect.refused_until() + rank * TRIAL_GAP_S

    def has_ended(self, run: int) -> bool:
        """Return whether a run of an upstream is known to have ended."""
        return run in self._ended_at

    def refused(self) -> list[Suspect]:
        """Return the suspects that ended enough upstreams to be refused."""
        return [suspect for suspect in self if self._is_crashing(suspect)]

    def record_end(
        self, fingerprint: int, run: int, ended_at: float, label: str = ''
    ) -> bool:
        """Record that an upstream's run ended; return whether it is news."""
        suspect = self._get_or_add(fingerprint)
        suspect.label = label or suspect.label
        is_news = suspect.record_end(run, ended_at)
        suspect.news_at = ended_at
        self._ended_at.setdefault(run, ended_at)
        self._drop_surplus()
        return is_news

    def record_success(self, fingerprint: int, now: float) -> bool:
        """Record an answer to a request; return whether it was a suspect."""
        self._succeeded_at[fingerprint] = now
        self._succeeded_at.move_to_end(fingerprint)
        if len(self._succeeded_at) > SUCCESSES_MAX:
            self._succeeded_at.popitem(last=False)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.ended_at:
            return False
        suspect.record_success(now)
        suspect.news_at = now
        return True

    def expire(self, now: float) -> None:
        """Forget what is too old to count."""
        old = [
            suspect.fingerprint
            for suspect in self
            if now - suspect.changed_at > KEPT_S
        ]
        for fingerprint in old:
            self._suspects.pop(fingerprint)

    def reports(self, now: float) -> dict[int, SuspectReport]:
        """Return what to tell the peers, the most important first."""
        told = [
            suspect
            for suspect in self
            if now - suspect.news_at < NEWS_TOLD_S
            or len(suspect.ended_at) >= REFUSED_WEIGHT
        ]
        told.sort(key=_importance, reverse=True)
        return {
            suspect.fingerprint: _report(suspect, now)
            for suspect in told[:REPORTS_MAX]
        }

    def apply(self, reports: Mapping[int, SuspectReport], now: float) -> None:
        """Apply a peer's reports, which are as old as they say."""
        for fingerprint, report in reports.items():
            suspect = self._get_or_add(fingerprint)
            if report.success_age_s is not None:
                suspect.learn_success(now - report.success_age_s)
            for run, age_s in report.ended_ages_s.items():
                ended_at = now - age_s
                suspect.record_end(run, ended_at)
                self._ended_at.setdefault(run, ended_at)
                if ended_at <= suspect.succeeded_at:
                    # The peer has missed the success.
                    suspect.news_at = now
        self._drop_surplus()

    def _get_or_add(self, fingerprint: int) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            suspect = Suspect(fingerprint)
            self._suspects[fingerprint] = suspect
        succeeded_at = self._succeeded_at.get(fingerprint, -math.inf)
        suspect.record_success(succeeded_at)
        return suspect

    def _is_crashing(self, suspect: Suspect) -> bool:
        """Return whether the ends that speak against the suspect suffice.

        What ended under a request that is refused by itself speaks against no
        other.
        """
        if len(suspect.ended_at) < REFUSED_WEIGHT:
            return False
        if self._weight(suspect) < REFUSED_WEIGHT:
            return False
        explained = {
            run
            for other in self
            if len(other.ended_at) > len(suspect.ended_at)
            and self._weight(other) >= REFUSED_WEIGHT
            for run in other.ended_at
        }
        return self._weight(suspect, explained) >= REFUSED_WEIGHT

    def _weight(
        self, suspect: Suspect, explained: Collection[int] = ()
    ) -> float:
        """Return how much the ends speak against the suspect.

        Several requests may crash upstreams at the same time: under each of
        them upstreams end again and again, and they are no other cause of each
        other's ends.
        """
        if not suspect.is_repeated:
            return suspect.weight(explained, self._ended_at)
        repeated = {
            run
            for other in self
            if other is not suspect and other.is_repeated
            for run in other.runs
        }
        other_ends = {
            run: at for run, at in self._ended_at.items() if run not in repeated
        }
        return suspect.weight(explained, other_ends)

    def _drop_surplus(self) -> None:
        while len(self._suspects) > SUSPECTS_MAX:
            least = min(self._suspects.values(), key=_importance)
            self._suspects.pop(least.fingerprint)
        while len(self._ended_at) > ENDS_MAX:
            self._ended_at.pop(next(iter(self._ended_at)))


def _importance(suspect: Suspect) -> tuple[bool, float]:
    return len(suspect.ended_at) >= REFUSED_WEIGHT, suspect.changed_at


def _report(suspect: Suspect, now: float) -> SuspectReport:
    success_age_s = now - suspect.succeeded_at
    return SuspectReport(
        {run: now - at for run, at in suspect.ended_at.items()},
        success_age_s if math.isfinite(success_age_s) else None,
    )
