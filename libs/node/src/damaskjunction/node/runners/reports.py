"""Reading of runners' load reports, which lag behind their actual load."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from damaskjunction.core import RequestError, Runner, Timers
from damaskjunction.http import Connector, HttpClient
from damaskjunction.node.runners.polling import RunnerPoller
from damaskjunction.node.runners.protocols import load_reports

REPORT_INTERVAL_S = 0.5


class LoadReader:
    """Polls runners for their load every ``REPORT_INTERVAL_S`` seconds.

    Parameters
    ----------
    timers : Timers
        Timer service of the process.
    runners : callable
        Returns the runners to poll.
    on_load : callable
        Called with a runner and the number of requests it reports as running.
    connector : Connector
        Opens connections to runners.
    """

    def __init__(
        self,
        timers: Timers,
        runners: Callable[[], Iterable[Runner]],
        on_load: Callable[[Runner, int], None],
        connector: Connector,
    ) -> None:
        self._runners = runners
        self._on_load = on_load
        self._client = HttpClient(timers, connector=connector)
        self._poller = RunnerPoller(
            timers, REPORT_INTERVAL_S, self._reporting_runners, self._read_load
        )

    async def start(self) -> None:
        """Start polling."""
        await self._poller.start()

    async def close(self) -> None:
        """Stop polling."""
        await self._poller.close()
        self._client.close()

    def _reporting_runners(self) -> list[Runner]:
        return [r for r in self._runners() if r.kind.value in load_reports]

    async def _read_load(self, runner: Runner) -> None:
        read = load_reports.get(runner.kind.value)
        try:
            n_running = await read(self._client, runner)
        except RequestError:
            return
        self._on_load(runner, n_running)
