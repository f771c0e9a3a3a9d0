"""Search for another place for a request whose runner is silent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Any, NamedTuple, TypeAlias

from damaskjunction.core import RequestError
from damaskjunction.node.serving.request_routes import RequestRoute
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.routing import AnswerPart, RunnerSilent

SEARCH_PAUSE_S = 0.1  # after the first refusal; it doubles with each one
MAX_SEARCH_PAUSE_S = 0.8

logger = logging.getLogger(__name__)

EntryMessage: TypeAlias = AnswerPart | RunnerSilent


class Standby(NamedTuple):
    """An attempt at another runner, with its first message, which proves the place."""

    number: int
    route: RequestRoute
    messages: AsyncGenerator[EntryMessage, None]
    first: AnswerPart


async def search_standby(
    request_id: str, open_standby: Callable[[], Awaitable[Standby | None]]
) -> Standby | None:
    """Return a standby, or None when no further one may be tried.

    An unexpected error ends the search, not the request.
    """
    pause_s = SEARCH_PAUSE_S
    while True:
        details = {"request_id": request_id}
        try:
            return await open_standby()
        except RequestError as error:
            logger.info("no standby", extra={**details, "reason": error.reason})
            await asyncio.sleep(max(pause_s, error.retry_after_s))
        except Exception:
            logger.exception("search for a standby failed", extra=details)
            return None
        pause_s = min(2.0 * pause_s, MAX_SEARCH_PAUSE_S)


async def wait_for_either(
    heard: asyncio.Future[Any], search: asyncio.Task[Standby | None]
) -> Standby | None:
    """Return the standby if it comes before the silent runner is heard, else None.

    What is not used is cancelled and closed. ``heard`` is done if None is returned.
    """
    try:
        await asyncio.wait((heard, search), return_when=asyncio.FIRST_COMPLETED)
        standby = search.result() if search.done() else None
        if standby is None:
            await asyncio.wait((heard,))
        elif not heard.done() or heard.exception() is not None:
            await cancel_tasks((heard,))
            return standby
    except BaseException:
        await cancel_tasks((heard, search))
        await _close_found(search)
        raise
    await cancel_tasks((search,))
    await _close_found(search)
    return None


async def _close_found(search: asyncio.Task[Standby | None]) -> None:
    if search.cancelled() or search.exception() is not None:
        return
    standby = search.result()
    if standby is not None:
        await standby.messages.aclose()
