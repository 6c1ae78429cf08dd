"""Settings of one daemon; times in ms."""

from dataclasses import dataclass, field

from quetzallock_core.host import HostSettings


@dataclass(frozen=True, slots=True)
class ListenSettings:
    """Addresses that the daemon listens on, each as `ip:port`."""

    http: str
    peers: str


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Addresses of the platform's services.

    Attributes:
        log: Base URL of the log service.
        host_list: Base URL of the host list.
        timeout_ms: Time limit of a call, and again of reading the body of its answer.
    """

    log: str
    host_list: str
    timeout_ms: int = 1_000


@dataclass(frozen=True, slots=True)
class CallSettings:
    """Limits of callers' requests.

    Attributes:
        services: Names of services that callers may call.
        body_bytes: Maximum size of a request body.
        connections_per_worker: Maximum number of connections from this host to one worker.
        drain_ms: Maximum time that a shutdown waits for requests in flight.
    """

    services: tuple[str, ...]
    body_bytes: int = 1_048_576
    connections_per_worker: int = 8
    drain_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Destinations of metrics and traces.

    Attributes:
        statsd: `ip:port` of the statsd server, or empty to send no metrics.
        traces: `none`, `log` for one log line for each span, or the URL of an OTLP collector.
        sampled_percent: Percentage of requests that are traced.
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
