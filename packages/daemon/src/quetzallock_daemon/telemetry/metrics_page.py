"""Metrics page with counters and latency histograms in the Prometheus text format."""

from collections import Counter

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)


class _CounterCollector(Collector):
    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters

    def collect(self) -> list[CounterMetricFamily]:
        """Return one metric family with all counters, labelled by name."""
        family = CounterMetricFamily("quetzallock_events", "Events counted.", labels=["event"])
        for name, value in sorted(self._counters.items()):
            family.add_metric([name], value)
        return [family]


class MetricsPage:
    """Page that the metrics address serves."""

    def __init__(self, counters: Counter[str]) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_CounterCollector(counters))
        self._latency = Histogram(
            "quetzallock_latency_seconds",
            "Latency by what was waited for.",
            ["of"],
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def observe(self, operation: str, ms: float) -> None:
        """Record one latency, in ms, of an operation."""
        self._latency.labels(operation).observe(ms / 1_000)

    def render(self) -> tuple[int, bytes]:
        """Return the status and the text of the page."""
        return 200, generate_latest(self._registry)
