"""Messages and results of reports."""

from dataclasses import dataclass

from ..codec import message


@message(120)
@dataclass(frozen=True, slots=True)
class QueryReport:
    """Ask a host for its report."""

    query: int


@message(121)
@dataclass(frozen=True, slots=True)
class Count:
    """A counter by name."""

    name: str
    value: int


@message(122)
@dataclass(frozen=True, slots=True)
class HostReport:
    """What one host counted since it started.

    Attributes:
        latency: Encoded histogram in ms of whole answers.
        short_wait: Encoded histogram in ms of the wait of short work for a slot.
        crest_asked: Requests in the busiest window.
        crest_in_time: Those of them answered in time.
    """

    query: int
    up_ms: int
    counts: tuple[Count, ...]
    latency: bytes
    short_wait: bytes
    crest_asked: int
    crest_in_time: int
    preset: str


@dataclass(frozen=True, slots=True)
class Report:
    """All hosts together; times in ms.

    Attributes:
        missing: Hosts that did not answer.
    """

    hosts: int
    missing: tuple[str, ...]
    preset: str
    preset_hosts: int
    counts: dict[str, int]
    p50_ms: float
    p99_ms: float
    short_wait_p99_ms: float
    crest_asked: int
    crest_in_time: int
    up_ms: int
