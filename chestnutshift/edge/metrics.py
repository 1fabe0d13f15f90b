"""Metrics of an edge VM, rendered in Prometheus' exposition format."""

import functools

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from chestnutshift.callers.ends import EndReason

PREFIX = 'chestnutshift'
LATENCY_BUCKETS_S = (
    0.05, 0.1, 0.2, 0.3, 0.45, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10, 20,
)  # fmt: skip


class CrashMetrics:
    """Metrics of requests under which upstreams end."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics in the registry."""
        self.proven = Counter(
            'crashes_proven_total',
            'Requests during which the process of an upstream ended.',
            namespace=PREFIX,
            registry=registry,
        )
        self.refused = Gauge(
            'crashing_requests',
            'Requests that are refused since upstreams ended under them.',
            namespace=PREFIX,
            registry=registry,
        )


class AttemptMetrics:
    """Metrics of attempts at upstreams and of decisions to repeat them."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the counters in the registry."""
        counter = functools.partial(
            Counter, namespace=PREFIX, registry=registry
        )
        self.ended = counter(
            'attempts_total',
            'Attempts at upstreams by service and how they ended.',
            ('service', 'outcome'),
        )
        self.repeats = counter(
            'repeats_total',
            'Decisions to send a request again, by service: charged to the '
            "fleet's budget, denied by it, or why they are free.",
            ('service', 'decision'),
        )
        self.headers_malformed = counter(
            'headers_malformed_total',
            'Headers of upstreams that can not be read and are ignored, by '
            'name.',
            ('header',),
        )


class CrossingMetrics:
    """Metrics of requests that VMs pass on to each other."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the metrics in the registry."""
        counter = functools.partial(
            Counter, namespace=PREFIX, registry=registry
        )
        self.cut_off = Gauge(
            'cut_off',
            'Whether no upstream answers this VM.',
            namespace=PREFIX,
            registry=registry,
        )
        self.passed_on = counter(
            'requests_passed_on_total',
            'Requests that were passed on to peers, by how that ended.',
            ('outcome',),
        )
        self.received = counter(
            'requests_taken_over_total', 'Requests that peers passed on.'
        )


class ConnectionMetrics:
    """Metrics of the connections of callers and peers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the counters in the registry."""
        counter = functools.partial(
            Counter, namespace=PREFIX, registry=registry
        )
        self.ended = counter(
            'connections_ended_total',
            'Connections of callers and peers by the reason for their end.',
            ('reason',),
        )
        self.requests_lost = counter(
            'requests_lost_total',
            'Requests without an answer whose caller had not left, by the '
            'reason for the end of their connection.',
            ('reason',),
        )
        for reason in EndReason:
            self.requests_lost.labels(reason.value)
        self.discarded = counter(
            'connections_discarded_bytes_total',
            'Bytes that were read behind the beginning of the last answer of '
            'a connection, by the reason for its end.',
            ('reason',),
        )


class MemoryMetrics:
    """Metrics of the memory that callers use, set when they are asked for."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the gauges in the registry."""
        gauge = functools.partial(Gauge, namespace=PREFIX, registry=registry)
        self.used = gauge(
            'memory_used_bytes', 'Memory that callers use, by kind.', ('kind',)
        )
        self.ceiling = gauge(
            'memory_ceiling_bytes', 'Memory that callers may use now.'
        )
        self.refused = gauge(
            'memory_refused',
            'Requests refused or ended unsent for memory since the start.',
        )


class StoreMetrics:
    """Metrics of what the store is asked and answers."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the counters in the registry."""
        counter = functools.partial(
            Counter, namespace=PREFIX, registry=registry
        )
        self.calls = counter(
            'store_calls_total',
            'Calls to the store by source and outcome.',
            ('source', 'outcome'),
        )
        self.rows_malformed = counter(
            'rows_malformed_total',
            'Rows of the store that can not be read and are ignored, by '
            'source.',
            ('source',),
        )


class StateGauges:
    """Gauges that are set when the metrics are asked for."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Create the gauges in the registry."""
        gauge = functools.partial(Gauge, namespace=PREFIX, registry=registry)
        self.proof_age = gauge(
            'table_proof_age_seconds',
            'Age of the proof that the route table is the newest.',
        )
        self.table_version = gauge(
            'table_version', 'Version of the route table in force.'
        )
        self.newest_table = gauge(
            'table_version_of_peers',
            'Newest version of a route table that peers name.',
        )
        self.table_behind = gauge(
            'table_behind_seconds',
            'How long peers have named a newer route table than this VM has.',
        )
        self.unreadable_parts = gauge(
            'table_unreadable_parts',
            'Parts of the route table in force that can not be read.',
        )
        self.table_unreadable = gauge(
            'table_unreadable',
            'Whether the newest route table can not be read, so that this VM '
            'refuses all requests.',
        )
        self.peers = gauge('peers_heard', 'Peers heard lately.')
        self.in_flight = gauge(
            'upstream_requests_in_flight',
            "This VM's requests at upstreams.",
        )
        self.timer_delay = gauge(
            'timer_delay_seconds',
            'How late timers fire; departures are noticed as late.',
        )
        self.memory = MemoryMetrics(registry)


class EdgeMetrics:
    """Counters, gauges and histograms of one VM since its start."""

    def __init__(self) -> None:
        """Create every metric in a registry of its own."""
        self.registry = CollectorRegistry()
        self.requests_ended = self._counter(
            'requests_total',
            'Requests by route and how they ended: the status of an upstream '
            'or the code of a refusal.',
            'route',
            'outcome',
        )
        self.latency = Histogram(
            'request_seconds',
            'Time from the head of a request to the end of its answer.',
            ('service',),
            namespace=PREFIX,
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.attempts = AttemptMetrics(self.registry)
        self.health_checks = self._counter(
            'health_checks_total',
            'Health checks of upstreams in doubt by outcome.',
            'outcome',
        )
        self.store = StoreMetrics(self.registry)
        self.limit_questions = self._counter(
            'limit_questions_total',
            'Questions to the VM that decides on an account by outcome.',
            'outcome',
        )
        self.rate_limits_malformed = self._counter(
            'rate_limits_malformed_total',
            'Answers of upstreams that named a limit that is no number.',
        )
        self.faults = self._counter(
            'faults_total',
            'Unexpected exceptions, by the piece of work that they ended.',
            'work',
        )
        self.connections = ConnectionMetrics(self.registry)
        # Memory, descriptors and processor time, and the limits of the kernel.
        ProcessCollector(namespace=PREFIX, registry=self.registry)
        self.crashes = CrashMetrics(self.registry)
        self.crossings = CrossingMetrics(self.registry)
        self.log_lines_dropped = self._gauge(
            'log_lines_left_out',
            'Log lines left out since the start.',
        )
        self.state = StateGauges(self.registry)

    def render(self) -> bytes:
        """Return all metrics in the exposition format."""
        return generate_latest(self.registry)

    def _counter(self, name: str, meaning: str, *labels: str) -> Counter:
        return Counter(
            name,
            meaning,
            labels,
            namespace=PREFIX,
            registry=self.registry,
        )

    def _gauge(self, name: str, meaning: str) -> Gauge:
        return Gauge(name, meaning, namespace=PREFIX, registry=self.registry)
