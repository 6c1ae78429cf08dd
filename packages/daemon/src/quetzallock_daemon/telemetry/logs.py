"""JSON log lines on standard output, limited in rate and written without blocking."""

import json
import logging
import os
import sys
import time
from collections import Counter, deque
from typing import Any, Final

_STANDARD_ATTRIBUTES: Final = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
_MAX_BUFFERED_LINES: Final = 4_000
_FLUSH_INTERVAL_MS: Final = 100
_CHUNK_BYTES: Final = 65_536
"""Size of a write beyond which no more lines are added to it."""


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON object."""

    def __init__(self, host: str) -> None:
        super().__init__()
        self._host = host

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for `record`, with the fields given as `extra`."""
        line: dict[str, Any] = {
            "t": round(record.created, 3),
            "level": record.levelname.lower(),
            "host": self._host,
            "event": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_ATTRIBUTES:
                line[name] = value
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, separators=(",", ":"))


class LogRateLimit(logging.Filter):
    """Limits the lines of each event per second; warnings and errors always pass.

    The next line of the event that passes reports the number of suppressed ones as `left_out`.
    """

    def __init__(self, lines_per_s: int) -> None:
        super().__init__()
        self._lines_per_s = lines_per_s
        self._second = 0
        self._passed: Counter[str] = Counter()
        self._suppressed: Counter[str] = Counter()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether `record` passes the limit."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._passed.clear()
        event = str(record.msg)
        if self._passed[event] >= self._lines_per_s and record.levelno < logging.WARNING:
            self._suppressed[event] += 1
            return False
        self._passed[event] += 1
        left_out = self._suppressed.pop(event, 0)
        if left_out:
            record.left_out = left_out
        return True


class BufferedLogHandler(logging.Handler):
    """Buffers lines in memory and writes as many as standard output accepts without blocking."""

    def __init__(self, reactor: Any, descriptor: int) -> None:
        super().__init__()
        self._reactor = reactor
        self._descriptor = descriptor
        self._lines: deque[str] = deque()
        self._unwritten = b""
        self._dropped = 0
        self._flush_call: Any = None

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the line of `record`; drop the oldest line of a full buffer."""
        self._lines.append(self.format(record))
        if len(self._lines) > _MAX_BUFFERED_LINES:
            self._lines.popleft()
            self._dropped += 1
        if self._flush_call is None:
            self._flush_call = self._reactor.callLater(
                _FLUSH_INTERVAL_MS / 1_000, self.write_buffered_lines
            )

    def write_buffered_lines(self) -> None:
        """Write as many buffered lines as standard output accepts now."""
        self._flush_call = None
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._pop_chunk()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                self._flush_call = self._reactor.callLater(
                    _FLUSH_INTERVAL_MS / 1_000, self.write_buffered_lines
                )
                return
            except OSError:
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def _pop_chunk(self) -> bytes:
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
    """Write all log records of the process to standard output as JSON lines."""
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    handler = BufferedLogHandler(reactor, descriptor)
    handler.setFormatter(JsonFormatter(host))
    handler.addFilter(LogRateLimit(lines_per_s))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.INFO)
    return handler
