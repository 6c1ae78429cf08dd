"""The settings of one daemon; times in ms."""

from dataclasses import dataclass, field

from quetzallock_core.host import HostSettings


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Where the daemon listens; `http` and `peers` are `ip:port`."""

    http: str
    peers: str


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Where the platform's services are.

    Attributes:
        log: Base URL of the log service.
        host_list: Base URL of the host list.
    """

    log: str
    host_list: str
    timeout_ms: int = 1_000


@dataclass(frozen=True, slots=True)
class CallSettings:
    """Limits of callers' requests.

    Attributes:
        services: Names of services that callers may call.
        body_bytes: Largest body taken.
        connections_per_worker: Most connections of this host to one worker.
        drain_ms: Longest time that a planned stop waits for requests in flight.
    """

    services: tuple[str, ...]
    body_bytes: int = 1_048_576
    connections_per_worker: int = 8
    drain_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Where metrics and traces go.

    Attributes:
        statsd: `ip:port` of statsd, empty for none.
        traces: `none`, `log` for one line a span, or the URL of an OTLP collector.
        sampled_percent: Share of requests that are traced.
    """

    statsd: str = ""
    traces: str = "none"
    sampled_percent: int = 1
    log_level: str = "INFO"


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one daemon."""

    host: str
    data_centre: str
    listen: ListenSettings
    platform: PlatformSettings
    calls: CallSettings
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)
    domains: HostSettings = field(default_factory=HostSettings)
