"""Probe that tells whether the process at an address has ended."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Address
from damaskjunction.core.units import MILLISECOND_S

N_PROBES = 2
PROBE_PAUSE_S = 30 * MILLISECOND_S
PROBE_TIMEOUT_S = 0.5


async def refuses_connections(address: Address) -> bool:
    """Return whether a process has ended, that is, connections to it are refused.

    A connection that is aborted, stalls or times out does not count, since a network
    fault can cause that too. After a connection that succeeds, the process is probed
    once more, since it may still accept connections for a moment while it crashes.
    """
    for number in range(N_PROBES):
        if number:
            await asyncio.sleep(PROBE_PAUSE_S)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.transport.abort()
    return False
