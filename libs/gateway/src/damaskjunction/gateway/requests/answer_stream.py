"""The answer of a runner as it arrives: its progress and its body."""

from __future__ import annotations

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable

from damaskjunction.core import Timers

# A runner that has been answering a request for so long is not crashed by it.
ANSWERING_S = 0.2


class AnswerProgress:
    """How far one runner's answer to a request has come.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    """

    def __init__(self, timers: Timers) -> None:
        self._timers = timers
        self._began_at_s: float | None = None

    @property
    def answering_s(self) -> float | None:
        """Seconds since the runner's first event, None before it."""
        if self._began_at_s is None:
            return None
        return round(self._timers.now() - self._began_at_s, 4)

    @property
    def is_answered(self) -> bool:
        """Whether the runner has been answering for long enough to live with it."""
        return (self.answering_s or 0.0) >= ANSWERING_S

    def record_event(self) -> None:
        """Record that an event has arrived."""
        if self._began_at_s is None:
            self._began_at_s = self._timers.now()


class StreamBody:
    """The body of a stream; ``aclose`` also releases one that was never iterated.

    Parameters
    ----------
    events : AsyncGenerator of bytes
        The stream.
    release : callable
        Releases what the request holds.
    """

    def __init__(
        self,
        events: AsyncGenerator[bytes, None],
        release: Callable[[], Awaitable[None]],
    ) -> None:
        self._events = events
        self._release = release

    def __aiter__(self) -> AsyncIterator[bytes]:
        return self

    async def __anext__(self) -> bytes:
        return await anext(self._events)

    async def aclose(self) -> None:
        """Abort the stream and release what the request holds."""
        await self._events.aclose()
        await self._release()
