"""Allocation of loopback ports that keeps parallel test runs apart.

All ports lie below the kernel's ephemeral range, because an outgoing connection could
otherwise take the port of a process while it restarts. A test run claims a block of
ports by binding the block's first port, so that two runs never allocate the same one.
"""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Iterator

from damaskjunction.core import Address

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 200
N_BLOCKS = 110  # the last port is 31,999; Linux's ephemeral range starts at 32,768
MAX_CLAIMED_BLOCKS = 2


class PortAllocator:
    """Allocates ports from blocks that this process claims one after the other.

    The last ``MAX_CLAIMED_BLOCKS`` blocks stay claimed, since processes that were
    assigned their ports may still run.
    """

    def __init__(self) -> None:
        self._claims: deque[socket.socket] = deque()
        self._ports = self._iterate_ports()

    def allocate_addresses(self, count: int) -> list[Address]:
        """Return loopback addresses whose ports are currently free for TCP and UDP."""
        addresses: list[Address] = []
        while len(addresses) < count:
            address = Address(LOOPBACK, next(self._ports))
            if _is_free(address):
                addresses.append(address)
        return addresses

    def _iterate_ports(self) -> Iterator[int]:
        block = os.getpid()
        while True:
            block = (block + 1) % N_BLOCKS
            base = FIRST_PORT + block * PORTS_PER_BLOCK
            if self._claim_block(Address(LOOPBACK, base)):
                yield from range(base + 1, base + PORTS_PER_BLOCK)

    def _claim_block(self, address: Address) -> bool:
        claim = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            claim.bind(address)
        except OSError:
            claim.close()
            return False
        self._claims.append(claim)
        if len(self._claims) > MAX_CLAIMED_BLOCKS:
            self._claims.popleft().close()
        return True


def _is_free(address: Address) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(address)
            except OSError:
                return False
    return True


_allocator = PortAllocator()


def allocate_addresses(count: int) -> list[Address]:
    """Return loopback addresses that no other test run on this machine allocates."""
    return _allocator.allocate_addresses(count)
