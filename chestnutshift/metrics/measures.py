"""What one VM counts of its answers and refusals since its start."""

from collections import Counter

import attrs

from chestnutshift.metrics.histograms import Histogram
from chestnutshift.metrics.names import (
    ANSWERED,
    LATENCY,
    REFUSED,
    WRONGFUL,
    Metric,
)
from chestnutshift.metrics.sender import Metrics

MEDIAN = 0.5
TAIL = 0.99


@attrs.frozen
class LatencySummary:
    """The answers of one service: how many, median and 99th percentile."""

    count: int
    p50_s: float | None
    p99_s: float | None


@attrs.frozen
class AccountShare:
    """The part of an account's requests inside its rate that was answered."""

    account: str
    share: float


@attrs.frozen
class MeasuresSummary:
    """Everything counted, for status."""

    latency: dict[str, LatencySummary]
    refusals: dict[str, int]
    refused_inside_rate: int
    worst_account: AccountShare | None


class Measures:
    """Count answers and refusals of one VM; also sends them to statsd."""

    def __init__(self, metrics: Metrics | None = None) -> None:
        """Start with nothing counted."""
        self._metrics = metrics or Metrics()
        self._latencies: dict[str, Histogram] = {}
        self._answers: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._wrongful: Counter[str] = Counter()

    def answered(self, service: str, account: str, latency_s: float) -> None:
        """Count a request that got its whole answer after latency_s."""
        histogram = self._latencies.setdefault(service, Histogram())
        histogram.record(latency_s)
        self._answers[account] += 1
        self._metrics.count(ANSWERED, service)
        self._metrics.time(LATENCY, latency_s, service)

    def refused(self, account: str, code: str, inside_rate: bool) -> None:
        """Count a refusal; inside_rate if the account had tokens left.

        An account that is not known yet is ''.
        """
        self._refusals[code] += 1
        self._metrics.count(REFUSED, code)
        if inside_rate:
            self._wrongful[account] += 1
            self._metrics.count(WRONGFUL)

    def gauge(self, metric: Metric, level: float) -> None:
        """Send the present level of something to statsd."""
        self._metrics.gauge(metric, level)

    def time(self, metric: Metric, duration_s: float) -> None:
        """Send a duration in seconds to statsd."""
        self._metrics.time(metric, duration_s)

    def summary(self) -> MeasuresSummary:
        """Return everything counted since the start."""
        return MeasuresSummary(
            latency={
                service: _summarize(histogram)
                for service, histogram in sorted(self._latencies.items())
            },
            refusals=dict(sorted(self._refusals.items())),
            refused_inside_rate=self._wrongful.total(),
            worst_account=self._worst_account(),
        )

    def _worst_account(self) -> AccountShare | None:
        accounts = sorted((self._answers | self._wrongful).keys() - {''})
        shares = [
            AccountShare(account, self._share_of(account))
            for account in accounts
        ]
        return min(shares, key=lambda found: found.share, default=None)

    def _share_of(self, account: str) -> float:
        answers = self._answers[account]
        return answers / (answers + self._wrongful[account])


def _summarize(histogram: Histogram) -> LatencySummary:
    return LatencySummary(
        count=histogram.count,
        p50_s=histogram.quantile(MEDIAN),
        p99_s=histogram.quantile(TAIL),
    )
