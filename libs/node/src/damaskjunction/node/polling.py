"""Asking runners something again and again, each one question at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from damaskjunction.core import Runner, RunnerId, Subscription, Timers
from damaskjunction.node.tasks import end_tasks


class RunnerPolling:
    """Asks runners once an interval; one that has not answered is left out.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    interval_s : float
        Seconds between two rounds.
    runners : callable
        Returns the runners to ask.
    ask : callable
        Asks one runner and takes its answer.
    """

    def __init__(
        self,
        timers: Timers,
        interval_s: float,
        runners: Callable[[], Iterable[Runner]],
        ask: Callable[[Runner], Awaitable[None]],
    ) -> None:
        self._timers = timers
        self._interval_s = interval_s
        self._runners = runners
        self._ask = ask
        self._subscription: Subscription | None = None
        self._tasks_by_runner: dict[RunnerId, asyncio.Task[None]] = {}

    async def start(self) -> None:
        """Start asking."""
        self._subscription = self._timers.every(self._interval_s, self._ask_all)

    async def close(self) -> None:
        """Stop asking and give up the questions under way."""
        if self._subscription is not None:
            self._subscription.cancel()
        await end_tasks(self._tasks_by_runner.values())

    def _ask_all(self) -> None:
        for runner in self._runners():
            if runner.runner_id not in self._tasks_by_runner:
                task = asyncio.ensure_future(self._ask_one(runner))
                self._tasks_by_runner[runner.runner_id] = task

    async def _ask_one(self, runner: Runner) -> None:
        try:
            await self._ask(runner)
        finally:
            del self._tasks_by_runner[runner.runner_id]
