"""The watch over a runner that a request waits for, and over its standby.

Silence is no failure: the runner keeps the request until another one is ready for it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Generic, TypeVar

from damaskjunction.core import Outcome, Timers
from damaskjunction.gateway.requests.silence_timer import SilenceTimer
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError

logger = logging.getLogger(__name__)

T = TypeVar("T")
S = TypeVar("S")


class RunnerWatch(Generic[S]):
    """Waits for a runner; while it is silent, prepares a standby.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    on_silence : callable
        Called when a runner falls silent. Returns the search for a standby, None
        if it must not be left.
    on_heard : callable
        Called when a silent runner is heard again.
    release : callable
        Releases a standby that is not needed.
    """

    def __init__(
        self,
        timers: Timers,
        on_silence: Callable[[], Coroutine[Any, Any, S] | None],
        on_heard: Callable[[], None],
        release: Callable[[S], Awaitable[None]],
    ) -> None:
        self._on_silence = on_silence
        self._on_heard = on_heard
        self._release = release
        self._timer = SilenceTimer(timers, self._report_silence)
        self._scope: asyncio.Timeout | None = None
        self._search: asyncio.Task[S] | None = None
        self._is_left = False  # from the end of the search to that of the wait
        self._abandoned: set[asyncio.Task[None]] = set()
        self._is_silent = False

    def expect(self, limit_s: float) -> None:
        """Expect to hear from the runner within a time; it has just been heard."""
        if self._is_left:
            return
        self._record_heard()
        self._timer.begin(limit_s)

    async def wait_for(self, work: Awaitable[T], limit_s: float | None = None) -> T:
        """Return what a runner sends, or leave it once a standby is ready.

        Parameters
        ----------
        work : awaitable
            Receives what the runner sends. It is cancelled when the runner is left.
        limit_s : float, optional
            Seconds after which the runner is silent; counted from ``expect`` if not
            given.

        Raises
        ------
        RunnerFailedError
            When the runner is left.
        """
        if limit_s is not None:
            self._timer.begin(limit_s)
        scope = self._scope = asyncio.timeout(None)
        try:
            async with scope:
                result = await work
        except BaseException as error:
            self._is_silent = False
            if isinstance(error, TimeoutError) and scope.expired():
                raise RunnerFailedError(
                    Outcome.UNKNOWN, "silent", is_silence=True
                ) from None
            self._abandon_search()
            raise
        finally:
            self._scope = None
            self._is_left = False
            self._timer.end()
        self._record_heard()
        return result

    def take_standby(self) -> S | None:
        """Return the standby of the runner that was left; the caller owns it."""
        search, self._search = self._search, None
        return None if search is None else search.result()

    async def close(self) -> None:
        """End the search, and release what it has found."""
        self._timer.close()
        self._abandon_search()
        if self._abandoned:
            await asyncio.wait(self._abandoned)

    def _record_heard(self) -> None:
        self._abandon_search()
        if self._is_silent:
            self._is_silent = False
            self._on_heard()

    def _report_silence(self) -> None:
        self._is_silent = True
        search = self._on_silence()
        if search is not None:
            self._search = asyncio.ensure_future(search)
            self._search.add_done_callback(self._leave)

    def _leave(self, search: asyncio.Task[S]) -> None:
        """Leave the runner if a search has found a standby."""
        if search is not self._search:
            return
        if search.cancelled() or search.exception() is not None or not self._scope:
            self._abandon_search()
        else:
            self._is_left = True
            self._scope.reschedule(asyncio.get_running_loop().time())

    def _abandon_search(self) -> None:
        search, self._search = self._search, None
        if search is not None:
            search.cancel()
            task = asyncio.ensure_future(self._release_result(search))
            self._abandoned.add(task)
            task.add_done_callback(self._abandoned.discard)

    async def _release_result(self, search: asyncio.Task[S]) -> None:
        await asyncio.wait((search,))
        if search.cancelled():
            return
        error = search.exception()
        if error is None:
            await self._release(search.result())
        else:
            logger.info("no standby", extra={"error": repr(error)})
