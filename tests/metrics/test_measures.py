"""Tests of histograms, measures, and the datagrams to statsd."""

import pathlib
import socket

import statsd

from chestnutshift.metrics.histograms import (
    BUCKETS_PER_DOUBLING,
    Histogram,
    bucket_end_s,
    bucket_of,
)
from chestnutshift.metrics.measures import AccountShare, Measures
from chestnutshift.metrics.names import HEADROOM, METRICS
from chestnutshift.metrics.sender import MetricsSender

ROOT = pathlib.Path(__file__).parent.parent.parent
BUCKET_RATIO = 2 ** (1 / BUCKETS_PER_DOUBLING)


def test_quantiles_are_close():
    """A quantile is overestimated by at most one bucket."""
    histogram = Histogram()
    assert histogram.quantile(0.5) is None
    for number in range(1, 1001):
        histogram.record(number / 1000)
    for fraction in (0.5, 0.99):
        error = histogram.quantile(fraction) / fraction
        assert 1 <= error <= BUCKET_RATIO


def test_extreme_durations_are_counted():
    """Durations beyond the buckets count in the first or last one."""
    histogram = Histogram()
    for duration_s in (-1, 0, 1e9):
        histogram.record(duration_s)
    assert histogram.count == 3
    assert histogram.quantile(1) == bucket_end_s(bucket_of(1e9))


def test_summary():
    """The worst account has the lowest answered share inside its rate."""
    measures = Measures()
    for _ in range(3):
        measures.answered('listings', 'large', 0.01)
    measures.answered('listings', 'small', 0.01)
    measures.refused('small', 'queue.full', inside_rate=True)
    measures.refused('large', 'accounts.rate', inside_rate=False)
    measures.refused('', 'keys.unknown', inside_rate=False)
    summary = measures.summary()
    assert summary.worst_account == AccountShare('small', 0.5)
    assert summary.refused_inside_rate == 1
    assert sum(summary.refusals.values()) == 3
    assert summary.latency['listings'].count == 4


def test_datagrams():
    """Metrics are sent to the address; dots in labels are replaced."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(('127.0.0.1', 0))
        receiver.settimeout(5)
        port = receiver.getsockname()[1]
        sender = MetricsSender(
            statsd.StatsClient('127.0.0.1', port, prefix='vm')
        )
        Measures(sender).refused('', 'keys.stale', inside_rate=False)
        assert receiver.recv(512) == b'vm.requests.refused.keys_stale:1|c'
        sender.gauge(HEADROOM, 0.5)
        assert receiver.recv(512) == b'vm.vm.headroom:0.5|g'


def test_page_is_complete():
    """The page has exactly one row for each metric of the registry."""
    page = ROOT.joinpath('docs/reference/metrics.md').read_text('utf-8')
    for name in METRICS:
        metric = METRICS.get(name)
        row = f'| `{name}` | {metric.type} | {metric.meaning} | {metric.label}'
        assert f'{row.rstrip()} |' in page
    assert page.count('\n| `') == len(list(METRICS))
