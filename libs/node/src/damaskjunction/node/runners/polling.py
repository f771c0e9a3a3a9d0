"""Periodic polling of runners, with at most one poll of a runner in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from damaskjunction.core import Runner, RunnerId, Subscription, Timers
from damaskjunction.node.tasks import cancel_tasks


class RunnerPoller:
    """Polls runners once per interval; skips one whose last poll is still in flight.

    Parameters
    ----------
    timers : Timers
        Timer service of the process.
    interval_s : float
        Seconds between polls.
    runners : callable
        Returns the runners to poll.
    poll : callable
        Polls one runner and processes its response.
    """

    def __init__(
        self,
        timers: Timers,
        interval_s: float,
        runners: Callable[[], Iterable[Runner]],
        poll: Callable[[Runner], Awaitable[None]],
    ) -> None:
        self._timers = timers
        self._interval_s = interval_s
        self._runners = runners
        self._poll = poll
        self._subscription: Subscription | None = None
        self._tasks_by_runner: dict[RunnerId, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start polling."""
        self._subscription = self._timers.every(self._interval_s, self._poll_all)

    async def close(self) -> None:
        """Stop polling and cancel the polls in flight."""
        if self._subscription is not None:
            self._subscription.cancel()
        await cancel_tasks(self._tasks_by_runner.values())

    def _poll_all(self) -> None:
        for runner in self._runners():
            if runner.runner_id not in self._tasks_by_runner:
                task = asyncio.ensure_future(self._poll_one(runner))
                self._tasks_by_runner[runner.runner_id] = task

    async def _poll_one(self, runner: Runner) -> None:
        try:
            await self._poll(runner)
        finally:
            del self._tasks_by_runner[runner.runner_id]
