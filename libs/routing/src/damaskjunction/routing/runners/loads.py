"""Estimates of the load of runners, kept by each host."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import Runner, RunnerId, WorkClass
from damaskjunction.routing.messages import RunnerLoad

REPORT_TTL_S = 3.0


class RunnerLoads:
    """Reported loads of runners, corrected by what this host has sent since.

    Reports come from the runners' homes or from the runners themselves.
    """

    def __init__(self) -> None:
        self.in_flight_by_runner: dict[RunnerId, int] = {}
        self._reports_by_runner: dict[RunnerId, _LoadReport] = {}

    def begin_request(self, runner_id: RunnerId) -> None:
        """Count a request that this host sends to a runner."""
        self.in_flight_by_runner[runner_id] = self.in_flight(runner_id) + 1

    def end_request(self, runner_id: RunnerId) -> None:
        """Count the end of a request that this host sent to a runner."""
        n_in_flight = self.in_flight(runner_id) - 1
        if n_in_flight > 0:
            self.in_flight_by_runner[runner_id] = n_in_flight
        else:
            self.in_flight_by_runner.pop(runner_id, None)

    def in_flight(self, runner_id: RunnerId) -> int:
        """Return the number of requests this host has in flight at a runner."""
        return self.in_flight_by_runner.get(runner_id, 0)

    def record(self, load: RunnerLoad, now_s: float) -> None:
        """Store a load reported by a home or a runner."""
        in_flight = self.in_flight(load.runner_id)
        self._reports_by_runner[load.runner_id] = _LoadReport(load, in_flight, now_s)

    def occupancies(
        self, runners: Iterable[Runner], work_class: WorkClass, now_s: float
    ) -> Mapping[RunnerId, float]:
        """Return requests per slot by runner.

        Batch requests count only for the batch class, since online preempts them. A
        report older than ``REPORT_TTL_S`` is ignored.
        """
        return {
            runner.runner_id: self._occupancy(runner, work_class, now_s)
            for runner in runners
        }

    def _occupancy(self, runner: Runner, work_class: WorkClass, now_s: float) -> float:
        in_flight = self.in_flight(runner.runner_id)
        report = self._reports_by_runner.get(runner.runner_id)
        if report is None or now_s - report.at_s > REPORT_TTL_S:
            return in_flight / runner.slots
        n_reported = report.load.n_online
        if work_class is WorkClass.BATCH:
            n_reported += report.load.n_batch
        n_now = max(in_flight, n_reported + in_flight - report.in_flight)
        return n_now / max(1, report.load.capacity)


class _LoadReport(NamedTuple):
    """A reported load and this host's requests in flight when it arrived."""

    load: RunnerLoad
    in_flight: int
    at_s: float
