"""The account of what a host holds for others, and the shares of its parts."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import MemoryAccount, MemoryPart

# Fractions of the memory of the process.
TOTAL_FRACTION = 0.35
CLIENT_FRACTION = 0.2
CONNECTION_FRACTION = 0.2
JOB_FRACTION = 0.2
CACHED_ITEM_FRACTION = 0.1
RESPONSE_FRACTION = 0.0625
LINK_FRACTION = 0.1


class MemoryShares(NamedTuple):
    """The parts that draw on the memory of a host, and the account of them all.

    ``clients`` are bodies, heads and unread answers, ``connections`` the open
    connections, ``jobs`` the items that wait, ``cached_items`` those that are kept to
    be read again, ``responses`` what runners send, and ``links`` what other hosts send.
    """

    account: MemoryAccount
    clients: MemoryPart
    connections: MemoryPart
    jobs: MemoryPart
    cached_items: MemoryPart
    responses: MemoryPart
    links: MemoryPart


def share_memory(memory_bytes: float) -> MemoryShares:
    """Return the shares of a process that has ``memory_bytes``."""
    account = MemoryAccount(int(TOTAL_FRACTION * memory_bytes))

    def open_part(name: str, fraction: float) -> MemoryPart:
        return account.open_part(name, int(fraction * memory_bytes))

    return MemoryShares(
        account,
        open_part("clients", CLIENT_FRACTION),
        open_part("connections", CONNECTION_FRACTION),
        open_part("jobs", JOB_FRACTION),
        open_part("cached_items", CACHED_ITEM_FRACTION),
        open_part("responses", RESPONSE_FRACTION),
        open_part("links", LINK_FRACTION),
    )
