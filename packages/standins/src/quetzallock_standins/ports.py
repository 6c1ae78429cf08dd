"""Allocates loopback ports; no two test processes get the same one."""

import os
import random
import socket
from typing import Final

from .const import LOOPBACK

FIRST_PORT: Final = 10_240
LAST_PORT: Final = 31_999
"""Below the range from which the kernel takes the ports of outgoing connections."""
BLOCK_PORTS: Final = 128


class PortsExhaustedError(Exception):
    """Too few free ports are left."""


class PortBlock:
    """A block of ports that only this process allocates.

    The first port of the block stays bound while the process runs, so that no other process can
    claim the block.
    """

    def __init__(self) -> None:
        self._owner = 0
        self._claim: socket.socket | None = None
        self._ports: list[int] = []
        self._next = 0

    def find_ports(self, number: int) -> list[int]:
        """Return ports of the block that can be bound.

        Raises:
            PortsExhaustedError: The block has fewer free ports, or every block is claimed.
        """
        if self._owner != os.getpid():
            self._claim_block()
        found: list[int] = []
        for _ in self._ports:
            if len(found) == number:
                break
            port = self._ports[self._next % len(self._ports)]
            self._next += 1
            if is_free(port):
                found.append(port)
        if len(found) < number:
            raise PortsExhaustedError(f"{number} ports requested, {len(found)} free")
        return found

    def _claim_block(self) -> None:
        starts = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
        random.shuffle(starts)
        for start in starts:
            claim = socket.socket()
            try:
                claim.bind((LOOPBACK, start))
            except OSError:
                claim.close()
                continue
            self._claim = claim
            self._owner = os.getpid()
            self._ports = list(range(start + 1, start + BLOCK_PORTS))
            self._next = 0
            return
        raise PortsExhaustedError("all blocks of ports are claimed by other processes")


def is_free(port: int) -> bool:
    """Return whether a loopback port can be bound."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


_BLOCK: Final = PortBlock()


def find_ports(number: int) -> list[int]:
    """Return free loopback ports of the block that this process has claimed."""
    return _BLOCK.find_ports(number)
