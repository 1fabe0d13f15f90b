"""Registry of metrics; docs/reference/metrics.md mirrors it."""

import enum

import attrs

from chestnutshift.registry import Registry


class MetricType(enum.StrEnum):
    """Type of a statsd metric."""

    COUNTER = 'counter'
    GAUGE = 'gauge'
    TIMER = 'timer'


@attrs.frozen
class Metric:
    """Metric; label is the kind of label that is appended to the name."""

    name: str
    type: MetricType
    label: str
    meaning: str


METRICS: Registry[Metric] = Registry('metric')


def define(
    name: str,
    metric_type: MetricType,
    meaning: str,
    label: str = '',
) -> Metric:
    """Add a metric to the registry and return it."""
    metric = Metric(name, metric_type, label, meaning)
    return METRICS.register(name)(metric)


ANSWERED = define(
    'requests.answered',
    MetricType.COUNTER,
    'Requests that got their whole answer.',
    'service',
)
REFUSED = define(
    'requests.refused',
    MetricType.COUNTER,
    'Requests that were refused.',
    'code',
)
REFUSED_INSIDE_RATE = define(
    'requests.refused_inside_rate',
    MetricType.COUNTER,
    'Requests that were refused although inside the rate of their account.',
)
LATENCY = define(
    'requests.latency',
    MetricType.TIMER,
    'Time from the head of a request to the end of its answer, ms.',
    'service',
)
HEADROOM = define(
    'vm.headroom',
    MetricType.GAUGE,
    'Free part of the slots that the VM may use, 0 to 1.',
)
DRAIN_TIME = define(
    'drains.duration',
    MetricType.TIMER,
    'Time from the start of a drain until it finished, ms.',
)
CONFIGURATION = define(
    'configuration.number',
    MetricType.GAUGE,
    'Number of the configuration in force on the VM.',
)
