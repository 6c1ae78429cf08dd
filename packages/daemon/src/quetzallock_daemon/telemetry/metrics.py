"""Sends counters to statsd, as increments since the last report."""

from collections import Counter

import statsd

from ..settings.models import TelemetrySettings

_PREFIX = "quetzallock"


class StatsdReporter:
    """Reports the counters of one daemon to statsd."""

    def __init__(self, settings: TelemetrySettings, counters: Counter[str]) -> None:
        self._counters = counters
        self._sent: Counter[str] = Counter()
        self._client = None
        if settings.statsd:
            ip, _, port = settings.statsd.rpartition(":")
            self._client = statsd.StatsClient(ip, int(port), prefix=_PREFIX)

    def flush(self) -> None:
        """Send the increments since the last call."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self._counters.items():
                increase = value - self._sent[name]
                if increase:
                    pipe.incr(name, increase)
        self._sent = Counter(self._counters)
