"""Reads the load reports of runners, which lag."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from damaskjunction.core import RequestError, Runner, Timers
from damaskjunction.http import HttpClient
from damaskjunction.node.polling import RunnerPolling
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
        self._runners = runners
        self._take = take
        self._client = HttpClient(timers)
        self._polling = RunnerPolling(
            timers, REPORT_INTERVAL_S, self._reporting_runners, self._ask
        )

    async def start(self) -> None:
        """Start asking."""
        await self._polling.start()

    async def close(self) -> None:
        """Stop asking."""
        await self._polling.close()
        self._client.close()

    def _reporting_runners(self) -> list[Runner]:
        return [r for r in self._runners() if r.kind.value in load_reports]

    async def _ask(self, runner: Runner) -> None:
        read = load_reports.get(runner.kind.value)
        try:
            n_running = await read(self._client, runner)
        except RequestError:
            return
        self._take(runner, n_running)
