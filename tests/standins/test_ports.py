"""Tests of the port allocator.

Two test processes must not get the same port, nor a port that the kernel may give to an outgoing
connection: whichever binds it second fails to start.
"""

import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest

from quetzallock_standins.const import LOOPBACK
from quetzallock_standins.ports import find_ports
from quetzallock_standins.processes import LocalDeployment, ProcessEndedError

PRINT_PORTS = "from quetzallock_standins.ports import find_ports; print(*find_ports(100))"
EPHEMERAL_PORTS = Path("/proc/sys/net/ipv4/ip_local_port_range")


def test_processes_never_share_a_port() -> None:
    command = [sys.executable, "-c", PRINT_PORTS]
    others = [subprocess.Popen(command, stdout=subprocess.PIPE, text=True) for _ in range(4)]
    own_ports = set(find_ports(100))
    for other in others:
        output, _ = other.communicate(timeout=30)
        assert not own_ports & {int(port) for port in output.split()}


def test_ports_are_not_those_of_outgoing_connections() -> None:
    first, last = (int(text) for text in EPHEMERAL_PORTS.read_text().split())
    assert not [port for port in find_ports(50) if first <= port <= last]


def test_bound_port_is_not_allocated() -> None:
    with socket.socket() as taken:
        port = find_ports(1)[0]
        taken.bind((LOOPBACK, port))
        taken.listen()
        assert port not in [found for _ in range(20) for found in find_ports(10)]


@pytest.mark.process
@pytest.mark.xdist_group("process")
def test_taken_port_is_reported_at_once_with_its_cause(tmp_path: Path) -> None:
    with socket.socket() as taken:
        port = find_ports(1)[0]
        taken.bind((LOOPBACK, port))
        taken.listen()
        deployment = LocalDeployment("aveia", tmp_path, entry_hosts=1, http_port=port)
        started_at = time.monotonic()
        try:
            with pytest.raises(ProcessEndedError, match=r"code 3[^0-9].*address_in_use"):
                deployment.start()
        finally:
            deployment.stop()
        assert time.monotonic() - started_at < 15
