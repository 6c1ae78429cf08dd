"""Metrics page with counters and latency histograms in the Prometheus text format."""

from collections import Counter
from collections.abc import Callable
from typing import Final

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from ..cells.configuration_view import ConfigurationView

_MS_PER_S: Final = 1_000
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


class _ConfigurationCollector(Collector):
    """Gauges of the configuration that the host applies; without a value before the first read."""

    def __init__(
        self, read_view: Callable[[], ConfigurationView], read_now: Callable[[], int]
    ) -> None:
        self._read_view = read_view
        self._read_now = read_now

    def collect(self) -> list[GaugeMetricFamily]:
        """Return the gauges, with times in seconds before now."""
        view = self._read_view()
        now = self._read_now()
        return [
            _make_gauge("version", "Version of the configuration in force.", view.version),
            _make_gauge(
                "since_seconds",
                "Time for which this version has been in force.",
                _convert_to_seconds(view.compute_in_force_ms(now)),
            ),
            _make_gauge(
                "view_age_seconds",
                "Time since the store confirmed that there is no newer version.",
                _convert_to_seconds(view.compute_age_ms(now)),
            ),
        ]


def _make_gauge(name: str, text: str, value: float | None) -> GaugeMetricFamily:
    family = GaugeMetricFamily(f"quetzallock_configuration_{name}", text)
    if value is not None:
        family.add_metric([], value)
    return family


def _convert_to_seconds(ms: int | None) -> float | None:
    return None if ms is None else ms / _MS_PER_S


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
        self._latency.labels(operation).observe(ms / _MS_PER_S)

    def show_configuration(
        self, read_view: Callable[[], ConfigurationView], read_now: Callable[[], int]
    ) -> None:
        """Show the configuration in force, with its times as of when the page is rendered."""
        self._registry.register(_ConfigurationCollector(read_view, read_now))

    def render(self) -> tuple[int, bytes]:
        """Return the status and the text of the page."""
        return 200, generate_latest(self._registry)
