"""The first look of a host at the platform's store, before it has a source."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from damaskjunction.gateway.store.kind_follower import KindFollower
from damaskjunction.node import cancel_tasks

STARTUP_DELAY_S = 1.5  # for the other hosts and their powers to be known
RELIST_DELAY_S = 1.0  # for the hosts that start at once to be listed


async def take_snapshots(followers: Sequence[KindFollower]) -> None:
    """List all objects, for ``STARTUP_DELAY_S`` at most; return after that.

    A kind that proves to be partial is listed once more: a host that knows few others
    would take itself, or one of them, for the source of all, and watch the store.
    """
    snapshots = [asyncio.ensure_future(f.take_snapshot()) for f in followers]
    try:
        await asyncio.sleep(RELIST_DELAY_S)
        snapshots += [
            asyncio.ensure_future(follower.take_snapshot())
            for follower in followers
            if follower.state.is_partial()
        ]
        await asyncio.sleep(STARTUP_DELAY_S - RELIST_DELAY_S)
    finally:
        await cancel_tasks(snapshots)
