"""Reads the load reports of runners, which lag."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from damaskjunction.core import RequestError, Runner, RunnerId, Subscription, Timers
from damaskjunction.http import HttpClient
from damaskjunction.node.runners import load_reports

REPORT_INTERVAL_S = 0.5


class LoadReader:
    """Asks runners for their load at an interval.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    runners : callable
        Returns the runners to ask.
    take : callable
        Takes a runner and the number of requests that it says it runs.
    """

    def __init__(
        self,
        timers: Timers,
        runners: Callable[[], Iterable[Runner]],
        take: Callable[[Runner, int], None],
    ) -> None:
        self._timers = timers
        self._runners = runners
        self._take = take
        self._client = HttpClient(timers)
        self._tasks_by_runner: dict[RunnerId, asyncio.Task[None]] = {}
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Start asking."""
        self._subscription = self._timers.every(REPORT_INTERVAL_S, self._ask_all)

    async def close(self) -> None:
        """Stop asking."""
        if self._subscription is not None:
            self._subscription.cancel()
        tasks = list(self._tasks_by_runner.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._client.close()

    def _ask_all(self) -> None:
        for runner in self._runners():
            runner_id = runner.runner_id
            if runner.kind.value not in load_reports:
                continue
            if runner_id in self._tasks_by_runner:
                continue
            task = asyncio.ensure_future(self._ask(runner))
            self._tasks_by_runner[runner_id] = task

    async def _ask(self, runner: Runner) -> None:
        read = load_reports.get(runner.kind.value)
        try:
            n_running = await read(self._client, runner)
        except RequestError:
            return
        finally:
            del self._tasks_by_runner[runner.runner_id]
        self._take(runner, n_running)
