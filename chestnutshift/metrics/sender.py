"""Sender of metrics to statsd by UDP; does nothing without an address."""

import statsd

from chestnutshift.conf.settings import Settings, StatsdSettings
from chestnutshift.metrics.names import Metric

MILLISECONDS_PER_S = 1000
# statsd uses ':' and '|' as separators, and '.' between levels of a name.
_REPLACEMENTS = str.maketrans({char: '_' for char in '.:|@#/ '})


class MetricsSender:
    """Sender of the metrics of one VM; lost datagrams are ignored."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        """Create a sender with a statsd client; None disables sending."""
        self._client = client

    def count(self, metric: Metric, label: str = '', count: int = 1) -> None:
        """Add count to a counter."""
        if self._client is not None:
            self._client.incr(_full_name(metric, label), count)

    def gauge(self, metric: Metric, level: float, label: str = '') -> None:
        """Set a gauge to a level."""
        if self._client is not None:
            self._client.gauge(_full_name(metric, label), level)

    def time(self, metric: Metric, duration_s: float, label: str = '') -> None:
        """Record a duration in seconds; it is sent in milliseconds."""
        if self._client is not None:
            name = _full_name(metric, label)
            self._client.timing(name, duration_s * MILLISECONDS_PER_S)


def make_metrics_sender(settings: Settings) -> MetricsSender:
    """Return the sender for the statsd of the settings and the VM's name."""
    target: StatsdSettings = settings.statsd
    if not target.address:
        return MetricsSender()
    client = statsd.StatsClient(
        host=target.address,
        port=target.port,
        prefix=f'{target.prefix}.{settings.vm.name.translate(_REPLACEMENTS)}',
        ipv6=':' in target.address,
    )
    return MetricsSender(client)


def _full_name(metric: Metric, label: str) -> str:
    if not label:
        return metric.name
    return f'{metric.name}.{label.translate(_REPLACEMENTS)}'
