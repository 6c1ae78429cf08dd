"""Messages and results of reports."""

from dataclasses import dataclass

from ..codec import message


@message(120)
@dataclass(frozen=True, slots=True)
class QueryReport:
    """Request the report of a host."""

    query: int


@message(121)
@dataclass(frozen=True, slots=True)
class Count:
    """Name and value of a counter."""

    name: str
    value: int


@message(122)
@dataclass(frozen=True, slots=True)
class HostReport:
    """Counts of one host since it started.

    Attributes:
        latency: Encoded histogram in ms of the latency of whole answers.
        short_wait: Encoded histogram in ms of the time that short work waited for a slot.
        crest_asked: Number of requests in the peak window.
        crest_in_time: Number of these that were answered in time.
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
    """Merged reports of all hosts; times in ms.

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
