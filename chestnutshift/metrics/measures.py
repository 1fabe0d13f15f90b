"""Counts of a VM's answers and refusals since its start."""

from collections import Counter

import attrs

from chestnutshift.metrics.histograms import Histogram
from chestnutshift.metrics.names import (
    ANSWERED,
    LATENCY,
    REFUSED,
    REFUSED_INSIDE_RATE,
    Metric,
)
from chestnutshift.metrics.sender import MetricsSender

MEDIAN = 0.5
P99_FRACTION = 0.99


@attrs.frozen
class LatencySummary:
    """Number of a service's answers; median and 99th percentile latency."""

    count: int
    p50_s: float | None
    p99_s: float | None


@attrs.frozen
class AccountShare:
    """Answered share of an account's requests that are inside its rate."""

    account: str
    share: float


@attrs.frozen
class MeasuresSummary:
    """Summary of all counts, for the status page."""

    latency: dict[str, LatencySummary]
    refusals: dict[str, int]
    refused_inside_rate: int
    worst_account: AccountShare | None


class Measures:
    """Counters of a VM's answers and refusals, also sent to statsd."""

    def __init__(self, sender: MetricsSender | None = None) -> None:
        """Create counters at zero; without a sender, nothing is sent."""
        self._sender = sender or MetricsSender()
        self._latencies: dict[str, Histogram] = {}
        self._answers: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._refused_inside_rate: Counter[str] = Counter()

    def answered(self, service: str, account: str, latency_s: float) -> None:
        """Count a request whose answer was complete after latency_s."""
        histogram = self._latencies.setdefault(service, Histogram())
        histogram.record(latency_s)
        self._answers[account] += 1
        self._sender.count(ANSWERED, service)
        self._sender.time(LATENCY, latency_s, service)

    def refused(self, account: str, code: str, inside_rate: bool) -> None:
        """Count a refusal; inside_rate if the account had tokens left.

        The account is empty if it is not known.
        """
        self._refusals[code] += 1
        self._sender.count(REFUSED, code)
        if inside_rate:
            self._refused_inside_rate[account] += 1
            self._sender.count(REFUSED_INSIDE_RATE)

    def gauge(self, metric: Metric, level: float) -> None:
        """Send the current level of a gauge to statsd."""
        self._sender.gauge(metric, level)

    def time(self, metric: Metric, duration_s: float) -> None:
        """Send a duration in seconds to statsd."""
        self._sender.time(metric, duration_s)

    def summary(self) -> MeasuresSummary:
        """Return the summary of all counts since the start."""
        return MeasuresSummary(
            latency={
                service: _summarize(histogram)
                for service, histogram in sorted(self._latencies.items())
            },
            refusals=dict(sorted(self._refusals.items())),
            refused_inside_rate=self._refused_inside_rate.total(),
            worst_account=self._worst_account(),
        )

    def _worst_account(self) -> AccountShare | None:
        accounts = sorted(
            (self._answers | self._refused_inside_rate).keys() - {''}
        )
        shares = [
            AccountShare(account, self._answered_share(account))
            for account in accounts
        ]
        return min(shares, key=lambda entry: entry.share, default=None)

    def _answered_share(self, account: str) -> float:
        answers = self._answers[account]
        return answers / (answers + self._refused_inside_rate[account])


def _summarize(histogram: Histogram) -> LatencySummary:
    return LatencySummary(
        count=histogram.count,
        p50_s=histogram.quantile(MEDIAN),
        p99_s=histogram.quantile(P99_FRACTION),
    )
