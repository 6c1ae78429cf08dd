"""Reads from the log which results of tasks the daemons recorded."""

import urllib.request
from typing import Final

import msgpack

from quetzallock_core.jobs.const import JobSettings
from quetzallock_core.jobs.models import TaskFinished
from quetzallock_core.jobs.replay import Replay

_READ_TIMEOUT_S: Final = 5.0

RecordedResult = tuple[str, int]
"""Task, and its attempt whose result was recorded."""


class RecordedResults:
    """Collects the results that take effect in the streams of all shards."""

    def __init__(self, log_url: str) -> None:
        self._log_url = log_url
        self._replays = {f"jobs-{shard}": Replay() for shard in range(JobSettings().shards)}
        self._results: set[RecordedResult] = set()

    def read(self) -> frozenset[RecordedResult]:
        """Read the streams to their ends and return all results recorded so far.

        Raises:
            OSError: The log does not answer.
        """
        for stream, replay in self._replays.items():
            while self._read_page(stream, replay):
                pass
        return self.list_results()

    def list_results(self) -> frozenset[RecordedResult]:
        """Return the results collected so far."""
        return frozenset(self._results)

    def _read_page(self, stream: str, replay: Replay) -> bool:
        """Apply one page of a stream and return whether there are more records."""
        url = f"{self._log_url}/streams/{stream}?from={replay.next_offset}"
        with urllib.request.urlopen(url, timeout=_READ_TIMEOUT_S) as response:
            _, next_offset, records = msgpack.unpackb(response.read())
        for offset, raw in records:
            self.apply(replay, offset, raw)
        return bool(records) and replay.next_offset < next_offset

    def apply(self, replay: Replay, offset: int, raw: bytes) -> None:
        """Apply a record to the replay of its stream, and collect the results in it."""
        applied = replay.apply(offset, raw)
        if applied is None:
            return
        for entry in applied.batch.entries:
            if isinstance(entry, TaskFinished):
                self._results.add((entry.task, entry.attempt))
