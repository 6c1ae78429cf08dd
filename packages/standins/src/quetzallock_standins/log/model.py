"""The log without sockets: streams of records with offsets, retention and faults."""

from dataclasses import dataclass, field
from typing import Final

SECOND_MS: Final = 1_000
PAGE_RECORDS: Final = 500
PAGE_BYTES: Final = 1_000_000


@dataclass(slots=True)
class LogFaults:
    """What is wrong with the log at the moment.

    Attributes:
        down: Whether nothing is answered.
        slow_ms: Time that each answer takes longer.
        lose_answers: Number of further appends that take effect without an answer.
        appends_per_second: Cap on appends over all streams.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    appends_per_second: int = 300


@dataclass(frozen=True, slots=True)
class Page:
    """Records read: offsets and bytes, the oldest kept offset and the next one."""

    first: int
    next_offset: int
    records: tuple[tuple[int, bytes], ...]


@dataclass(slots=True)
class _Stream:
    next_offset: int = 0
    records: dict[int, tuple[int, bytes]] = field(default_factory=dict)


class LogModel:
    """All streams of the log."""

    def __init__(self, retention_ms: int) -> None:
        self.faults = LogFaults()
        self.retention_ms = retention_ms
        self.appended = 0
        self.refused = 0
        self._streams: dict[str, _Stream] = {}
        self._window_start = 0
        self._window_count = 0

    def append(self, stream: str, record: bytes, now: int) -> int | None:
        """Append and return the offset, or None over the rate cap."""
        if not self._admit(now):
            self.refused += 1
            return None
        state = self._streams.setdefault(stream, _Stream())
        offset = state.next_offset
        state.records[offset] = (now, record)
        state.next_offset = offset + 1
        self.appended += 1
        return offset

    def pop_lost_answer(self) -> bool:
        """Tell whether the answer to the append just made gets lost."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True

    def read(self, stream: str, offset: int, now: int) -> Page:
        """Return a page of records from `offset` on."""
        state = self._streams.setdefault(stream, _Stream())
        self._expire(state, now)
        first = next(iter(state.records), state.next_offset)
        records: list[tuple[int, bytes]] = []
        size = 0
        for at in range(max(offset, first), state.next_offset):
            record = state.records[at][1]
            size += len(record)
            if len(records) >= PAGE_RECORDS or (records and size > PAGE_BYTES):
                break
            records.append((at, record))
        return Page(first, state.next_offset, tuple(records))

    def _admit(self, now: int) -> bool:
        if now - self._window_start >= SECOND_MS:
            self._window_start, self._window_count = now, 0
        self._window_count += 1
        return self._window_count <= self.faults.appends_per_second

    def _expire(self, state: _Stream, now: int) -> None:
        for offset, (at, _) in list(state.records.items()):
            if now - at < self.retention_ms:
                return
            del state.records[offset]
