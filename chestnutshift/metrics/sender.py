"""Send metrics to statsd by UDP; without an address do nothing."""

import statsd

from chestnutshift.conf.settings import Settings, StatsdSettings
from chestnutshift.metrics.names import Metric

MILLISECONDS = 1000
# statsd reads ':' and '|' as separators, and '.' as a level of the name.
_PLAIN = str.maketrans({mark: '_' for mark in '.:|@#/ '})


class Metrics:
    """The metrics of one VM; a lost datagram is no error."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        """Send by this client; None sends nothing."""
        self._client = client

    def count(self, metric: Metric, label: str = '', count: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(_full_name(metric, label), count)

    def gauge(self, metric: Metric, level: float, label: str = '') -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(_full_name(metric, label), level)

    def time(self, metric: Metric, duration_s: float, label: str = '') -> None:
        """Record a duration in seconds."""
        if self._client is not None:
            name = _full_name(metric, label)
            self._client.timing(name, duration_s * MILLISECONDS)


def make_metrics(settings: Settings) -> Metrics:
    """Return what sends to the settings' statsd, under the VM's name."""
    target: StatsdSettings = settings.statsd
    if not target.address:
        return Metrics()
    client = statsd.StatsClient(
        host=target.address,
        port=target.port,
        prefix=f'{target.prefix}.{settings.vm.name.translate(_PLAIN)}',
        ipv6=':' in target.address,
    )
    return Metrics(client)


def _full_name(metric: Metric, label: str) -> str:
    if not label:
        return metric.name
    return f'{metric.name}.{label.translate(_PLAIN)}'
