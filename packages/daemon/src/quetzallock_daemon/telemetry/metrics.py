"""Sends counters to statsd; what is sent is the difference since the last time."""

from collections import Counter

import statsd

from ..settings.models import TelemetrySettings

_PREFIX = "quetzallock"


class Metrics:
    """Counters of one daemon on their way to statsd."""

    def __init__(self, settings: TelemetrySettings, counters: Counter[str]) -> None:
        self._counters = counters
        self._sent: Counter[str] = Counter()
        self._client = None
        if settings.statsd:
            ip, _, port = settings.statsd.rpartition(":")
            self._client = statsd.StatsClient(ip, int(port), prefix=_PREFIX)

    def flush(self) -> None:
        """Send what was counted since the last call."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self._counters.items():
                grown = value - self._sent[name]
                if grown:
                    pipe.incr(name, grown)
        self._sent = Counter(self._counters)
