"""Model of the log without sockets: streams of records with offsets, retention and faults."""

from dataclasses import dataclass, field
from typing import Final

SECOND_MS: Final = 1_000
MAX_PAGE_RECORDS: Final = 500
MAX_PAGE_BYTES: Final = 1_000_000


@dataclass(slots=True)
class LogFaults:
    """Faults that are injected into the log.

    Attributes:
        down: Whether no request is answered.
        slow_ms: Delay that is added to each answer.
        lose_answers: Number of coming appends that take effect and are not answered.
        appends_per_second: Limit of appends to all streams together.
    """

    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    appends_per_second: int = 300


@dataclass(frozen=True, slots=True)
class Page:
    """Records of one read.

    Attributes:
        first: Oldest offset that is retained.
        next_offset: Offset of the next record to be appended.
        records: Offset and bytes of each record.
    """

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
        """Append a record and return its offset, or None above the rate limit."""
        if not self._is_within_rate(now):
            self.refused += 1
            return None
        state = self._streams.setdefault(stream, _Stream())
        offset = state.next_offset
        state.records[offset] = (now, record)
        state.next_offset = offset + 1
        self.appended += 1
        return offset

    def pop_lost_answer(self) -> bool:
        """Return whether the answer to the last append is lost; count one lost answer if so."""
        if self.faults.lose_answers <= 0:
            return False
        self.faults.lose_answers -= 1
        return True

    def read(self, stream: str, offset: int, now: int) -> Page:
        """Return a page of records from `offset` on."""
        state = self._streams.setdefault(stream, _Stream())
        self._drop_expired(state, now)
        first = next(iter(state.records), state.next_offset)
        records: list[tuple[int, bytes]] = []
        size = 0
        for at in range(max(offset, first), state.next_offset):
            record = state.records[at][1]
            size += len(record)
            if len(records) >= MAX_PAGE_RECORDS or (records and size > MAX_PAGE_BYTES):
                break
            records.append((at, record))
        return Page(first, state.next_offset, tuple(records))

    def _is_within_rate(self, now: int) -> bool:
        if now - self._window_start >= SECOND_MS:
            self._window_start, self._window_count = now, 0
        self._window_count += 1
        return self._window_count <= self.faults.appends_per_second

    def _drop_expired(self, state: _Stream, now: int) -> None:
        for offset, (at, _) in list(state.records.items()):
            if now - at < self.retention_ms:
                return
            del state.records[offset]
