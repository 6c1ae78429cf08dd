"""The metrics page: counters and latency histograms in the Prometheus text format."""

from collections import Counter

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)


class _Counters(Collector):
    def __init__(self, counters: Counter[str]) -> None:
        self._counters = counters

    def collect(self) -> list[CounterMetricFamily]:
        """Return one family with all counters by name."""
        family = CounterMetricFamily("quetzallock_events", "Events counted.", labels=["event"])
        for name, value in sorted(self._counters.items()):
            family.add_metric([name], value)
        return [family]


class MetricsPage:
    """What the metrics address serves."""

    def __init__(self, counters: Counter[str]) -> None:
        self._registry = CollectorRegistry()
        self._registry.register(_Counters(counters))
        self._latency = Histogram(
            "quetzallock_latency_seconds",
            "Latency by what was waited for.",
            ["of"],
            registry=self._registry,
            buckets=BUCKETS_S,
        )

    def observe(self, of: str, ms: float) -> None:
        """Take in one latency in ms."""
        self._latency.labels(of).observe(ms / 1_000)

    def render(self) -> tuple[int, bytes]:
        """Return the status and the text of the page."""
        return 200, generate_latest(self._registry)
