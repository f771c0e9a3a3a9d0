"""Loops of the control parts that go on through outages of the platform."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from damaskjunction.core import PlatformError
from damaskjunction.platform import ObjectStore, StoredObject

logger = logging.getLogger(__name__)

WATCH_S = 10.0
RETRY_S = 0.5


async def follow(
    store: ObjectStore, kind: str, take: Callable[[StoredObject], None]
) -> None:
    """Pass on every change of a kind of objects."""
    revision = 0
    while True:
        try:
            result = await store.watch(kind, after_revision=revision, timeout_s=WATCH_S)
        except PlatformError as error:
            logger.warning("watch failed", extra={"error": str(error)})
            await asyncio.sleep(RETRY_S)
            continue
        revision = result.revision
        for stored in result.objects:
            take(stored)


async def repeat(step: Callable[[], Awaitable[None]], interval_s: float) -> None:
    """Make a step again and again; one that the platform fails is logged."""
    while True:
        try:
            await step()
        except PlatformError as error:
            logger.warning("control step failed", extra={"error": str(error)})
        await asyncio.sleep(interval_s)
