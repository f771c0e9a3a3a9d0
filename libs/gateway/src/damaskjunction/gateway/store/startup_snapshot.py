"""The first look of a host at the platform's store, before it has a source."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from damaskjunction.gateway.store.kind_follower import KindFollower
from damaskjunction.node import cancel_tasks

STARTUP_DELAY_S = 1.5  # for the other hosts and their powers to be known


async def take_snapshots(followers: Sequence[KindFollower]) -> None:
    """List all objects, for ``STARTUP_DELAY_S`` at most; return after that."""
    snapshots = [asyncio.ensure_future(f.take_snapshot()) for f in followers]
    try:
        await asyncio.sleep(STARTUP_DELAY_S)
    finally:
        await cancel_tasks(snapshots)
