"""A minimal HTTP/1.1 server and client over asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

REASONS = {200: "OK"}


@dataclass
class Request:
    """A received request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


Handler = Callable[[Request], Awaitable[tuple[int, bytes]]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves one address; `crash` resets all connections and closes the port."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""

    async def start(self, ip: str) -> str:
        """Listen on a free port and return `ip:port`."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                request = Request(method, parts.path, query, headers, body)
                status, answer = await self._handler(request)
                head = f"HTTP/1.1 {status} {REASONS.get(status, 'X')}\r\nContent-Length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Close the port and reset the connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def call(
    address: str, method: str, path: str, host: str, body: bytes, timeout_s: float
) -> tuple[int, bytes]:
    """Make one call on a connection of its own; return status 0 without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            ip, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
            first, headers = await _read_head(reader)
            answer = await reader.readexactly(int(headers.get("content-length", "0")))
            return int(first.split(" ")[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()
