"""Callers of a real process that is stopped as planned, on connections of their own."""

import re
import signal
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from threading import Thread

import pytest

from quetzallock_standins.const import LOOPBACK

from .processes import EntryHost, LocalPlatform, wait_until

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("platform")]

LOSS_SLACK_S = 0.2
GRACE_S = 6.0
SETTLE_S = 1.0
SERVED_S = 2.0
"""Time since SIGTERM in which the load balancer may send new connections: two misses a second."""

BODY = b'{"spec":"100","steps":[{"count":1,"cpu":500}]}'


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[LocalPlatform]:
    """Two entry hosts and four workers."""
    local = LocalPlatform(tmp_path, hosts=2)
    try:
        wait_until(
            lambda: all(host.count("host joins the group of cell owners") for host in local.hosts)
        )
        time.sleep(SETTLE_S)
        wait_until(lambda: any(host.count("cell is owned") for host in local.hosts))
        yield local
    finally:
        local.close()


@dataclass
class Exchange:
    """A request and what became of it; times in s, `ended_s` is the answer's or the end's."""

    sent_s: float
    status: int = 0
    ended_s: float = 0.0


@dataclass
class Caller:
    """A caller that uses one connection until the host closes it."""

    host: EntryHost
    first_job: int
    pause_s: float = 0.0
    exchanges: list[Exchange] = field(default_factory=list)

    def connect(self) -> socket.socket:
        """Open a connection."""
        return socket.create_connection((LOOPBACK, self.host.front), timeout=2 * GRACE_S)

    def run(self) -> None:
        """Send one request after the other, on one connection, until it ends."""
        try:
            connection = self.connect()
        except OSError:
            return
        with connection:
            job = self.first_job
            while self.exchange(connection, make_submission(job)):
                job += 1
                time.sleep(self.pause_s)

    def exchange(self, connection: socket.socket, request: bytes) -> bool:
        """Send a request, and return whether it has an answer."""
        try:
            connection.sendall(request)
        except OSError:
            return False
        exchange = Exchange(time.monotonic())
        self.exchanges.append(exchange)
        exchange.status = read_status(connection)
        exchange.ended_s = time.monotonic()
        return exchange.status != 0

    @property
    def given_up(self) -> list[Exchange]:
        """Requests whose connection ended without an answer later than the slack allows."""
        return [
            exchange
            for exchange in self.exchanges
            if not exchange.status and exchange.ended_s - exchange.sent_s > LOSS_SLACK_S
        ]


def make_submission(job: int) -> bytes:
    head = f"POST /jobs/{job:016x} HTTP/1.1\r\nHost: desk.example\r\n"
    return f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY


def read_status(connection: socket.socket) -> int:
    """Return the status of the next answer, which is read whole, or 0 if the connection ends."""
    data = b""
    while True:
        try:
            chunk = connection.recv(4_096)
        except OSError:
            return 0
        data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        length = re.search(rb"content-length: (\d+)", head.lower())
        if length and len(body) >= int(length[1]):
            return int(head.split()[1])
        if not chunk:
            return 0


def start_all(callers: list[Caller]) -> list[Thread]:
    """Let callers run beside each other."""
    threads = [Thread(target=caller.run, daemon=True) for caller in callers]
    for thread in threads:
        thread.start()
    return threads


def read_exit_report(host: EntryHost) -> dict[str, object]:
    (line,) = [line for line in host.read_log() if line["event"] == "host is stopped"]
    return line


@pytest.mark.parametrize("mode", ["up", "slow", "mute"])
def test_no_request_of_callers_that_go_on_until_the_exit_is_given_up(
    platform: LocalPlatform, mode: str
) -> None:
    """Guards against requests that are read and left as the process ends; `mute`: no appends."""
    host = platform.hosts[0]
    assert host.process is not None
    callers = [Caller(host, number << 32, number * 0.03) for number in range(8)]
    threads = start_all(callers)
    time.sleep(SETTLE_S)
    platform.send_command("mode", mode)
    host.process.send_signal(signal.SIGTERM)
    stopped_s = time.monotonic()
    while host.process.poll() is None:
        callers.append(Caller(host, (len(callers) + 1) << 32))
        threads += start_all(callers[-1:])
        if time.monotonic() - stopped_s < SERVED_S:
            served = list(callers)
        time.sleep(0.1)
    assert host.process.wait(timeout=GRACE_S) == 0
    for thread in threads:
        thread.join(timeout=GRACE_S)
    assert [caller.given_up for caller in callers if caller.given_up] == []
    assert all(any(exchange.status for exchange in caller.exchanges) for caller in served)
    report = read_exit_report(host)
    assert report["in_flight"] == 0
    assert not {"exit_idle", "exit_busy"} & set(report["channels"])  # type: ignore[call-overload]


def test_answer_arrives_though_more_bytes_follow_its_request(platform: LocalPlatform) -> None:
    """Guards against a reset, by bytes that were not read, which destroys an answer."""
    host = platform.hosts[0]
    assert host.process is not None
    caller = Caller(host, 1)
    with caller.connect() as connection:
        assert caller.exchange(connection, make_submission(1))
        host.process.send_signal(signal.SIGTERM)
        wait_until(lambda: host.count("host is draining"))
        requests = b"".join(make_submission(number) for number in range(2, 6))
        connection.sendall(requests + make_submission(6)[:-1])
        time.sleep(SETTLE_S)
        statuses = [read_status_of_one(connection) for _ in range(4)]
        connection.sendall(make_submission(6)[-1:])
        statuses.append(read_status_of_one(connection))
        connection.sendall(make_submission(7))
        assert connection.recv(1) == b""
    assert statuses == [200] * 5
    assert host.process.wait(timeout=GRACE_S) == 0


def read_status_of_one(connection: socket.socket) -> int:
    """Return the status of the next answer, and leave what follows it unread."""
    data = b""
    while b"\r\n\r\n" not in data:
        byte = connection.recv(1)
        assert byte, data
        data += byte
    length = re.search(rb"content-length: (\d+)", data.lower())
    assert length
    remaining = int(length[1])
    while remaining:
        remaining -= len(connection.recv(remaining))
    return int(data.split()[1])


def test_request_completed_as_the_process_is_about_to_go_is_answered_or_its_connection_ends(
    platform: LocalPlatform,
) -> None:
    host = platform.hosts[0]
    assert host.process is not None
    delays_s = [2.9 + 0.1 * number for number in range(28)]
    callers = [Caller(host, (number + 1) << 32) for number in range(len(delays_s))]

    def run(caller: Caller, delay_s: float) -> None:
        request = make_submission(caller.first_job)
        with caller.connect() as connection:
            connection.sendall(request[:-1])
            time.sleep(delay_s)
            caller.exchange(connection, request[-1:])

    platform.send_command("mode", "slow")
    threads = [
        Thread(target=run, args=pair, daemon=True) for pair in zip(callers, delays_s, strict=True)
    ]
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    host.process.send_signal(signal.SIGTERM)
    assert host.process.wait(timeout=GRACE_S) == 0
    for thread in threads:
        thread.join(timeout=GRACE_S)
    assert [caller.given_up for caller in callers if caller.given_up] == []
    assert read_exit_report(host)["in_flight"] == 0
