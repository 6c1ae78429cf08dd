"""Structured log lines on standard output: bounded in volume, never blocking."""

import json
import logging
import os
import sys
import time
from collections import Counter, deque
from typing import Any, Final

_STANDARD: Final = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
_BUFFER_LINES: Final = 4_000
_FLUSH_MS: Final = 100
_CHUNK_BYTES: Final = 65_536


class JsonFormatter(logging.Formatter):
    """Writes a record as one JSON object."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        line: dict[str, Any] = {
            "t": round(record.created, 3),
            "level": record.levelname.lower(),
            "host": self._host,
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD:
                line[name] = value
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, separators=(",", ":"))


class LogRateLimit(logging.Filter):
    """Lets through so many lines of an event a second; the next line counts the rest."""

    def __init__(self, lines_per_s: int) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._used: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether `record` is written."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._used.clear()
        event = str(record.msg)
        if self._used[event] >= self._lines_per_s and record.levelno < logging.WARNING:
            self._left_out[event] += 1
            return False
        self._used[event] += 1
        left_out = self._left_out.pop(event, 0)
        if left_out:
            record.left_out = left_out
        return True


class BufferedLogHandler(logging.Handler):
    """Keeps lines in memory and writes them as far as standard output takes them."""

    def __init__(self, reactor: Any, descriptor: int) -> None:
        super().__init__()
        self._reactor = reactor
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._rest = b""
        self._dropped = 0
        self._call: Any = None

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the line of `record`; the oldest go when there are too many."""
        self._lines.append(self.format(record))
        if len(self._lines) > _BUFFER_LINES:
            self._lines.popleft()
            self._dropped += 1
        if self._call is None:
            self._call = self._reactor.callLater(_FLUSH_MS / 1_000, self.write_buffered_lines)

    def write_buffered_lines(self) -> None:
        """Write what standard output takes now."""
        self._call = None
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._take_chunk()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                self._call = self._reactor.callLater(_FLUSH_MS / 1_000, self.write_buffered_lines)
                return
            except OSError:
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take_chunk(self) -> bytes:
        parts: list[str] = []
        size = 0
        while self._lines and size < _CHUNK_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line) + 1
        if self._dropped:
            parts.append(json.dumps({"event": "lines dropped", "count": self._dropped}))
            self._dropped = 0
        return ("\n".join(parts) + "\n").encode()


def set_up_json_logging(reactor: Any, host: str, lines_per_s: int) -> BufferedLogHandler:
    """Send all log records of the process to standard output as JSON lines."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BufferedLogHandler(reactor, descriptor)
    handler.setFormatter(JsonFormatter(host))
    handler.addFilter(LogRateLimit(lines_per_s))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    return handler
