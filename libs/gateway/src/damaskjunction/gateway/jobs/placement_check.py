"""Checks that no item that this host owes lies there while runners have room for it."""

from __future__ import annotations

import logging
from itertools import groupby

from damaskjunction.batch import RoomWatch, RunnerReading, runners_with_room
from damaskjunction.core import Runner, Subscription
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.jobs.owed_items import ItemNeed, OwedItem, OwedItems
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.node import TaskSet
from damaskjunction.routing import runners_at

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 1.0
MAX_RUNNERS_ASKED = 2  # for each service and version, in each check
MAX_LINES_PER_CHECK = 20
LEFT_LYING = "item left lying"


class PlacementCheck:
    """Starts items over that lie at no runner although a runner has room for them.

    Whether it has room is asked of the runner itself: what the home of the slots
    believes may be what is wrong. So the home is left out for a while, too.

    Parameters
    ----------
    context : DispatchContext
        Runners, slots and versions.
    owed_items : OwedItems
        The items that this host owes.
    """

    def __init__(self, context: DispatchContext, owed_items: OwedItems) -> None:
        self._state = context.state
        self._slot_client = context.slot_client
        self._runner_client = context.runner_client
        self._version_registry = context.version_registry
        self._timers = context.timers
        self._metrics = context.metrics
        self._rng = context.rng
        self._owed_items = owed_items
        self._subscription: Subscription | None = None
        self._checks = TaskSet()
        self._is_checking = False
        self._room_watches_by_need: dict[tuple[str, str], RoomWatch] = {}

    async def start(self) -> None:
        """Start checking, once in each ``CHECK_PERIOD_S``."""
        self._subscription = self._timers.every(CHECK_PERIOD_S, self._begin)

    async def close(self) -> None:
        """Stop checking."""
        if self._subscription is not None:
            self._subscription.cancel()
        await self._checks.close()

    def _begin(self) -> None:
        if not self._is_checking and self._owed_items.overdue():
            self._is_checking = True
            self._checks.begin(self._check())

    async def _check(self) -> None:
        try:
            overdue = sorted(self._owed_items.overdue(), key=_service_and_version)
            former_watches = self._room_watches_by_need
            self._room_watches_by_need = {}
            for need, group in groupby(overdue, _service_and_version):
                watch = former_watches.get(need, RoomWatch())
                self._room_watches_by_need[need] = watch
                readings = await self._read_some(ItemNeed(*need))
                has_room = bool(runners_with_room(readings))
                if watch.observe(has_room, self._timers.now()):
                    self._start_over(list(group), readings)
        finally:
            self._is_checking = False

    async def _read_some(self, need: ItemNeed) -> list[RunnerReading]:
        """Return the reports of some runners that may take an item, drawn by chance."""
        if not self._state.has_engines(need.service):
            return []
        may_begin = self._version_registry.may_begin
        runners = [
            runner
            for runner in runners_at(self._state.runners_of(need.service), need.version)
            if may_begin(need.service, runner.version)
            and not self._runner_client.observed_limits.is_limited(runner.runner_id)
            and not self._slot_client.is_unhealthy(runner.runner_id)
            and runner.runner_id not in need.avoid
        ]
        drawn = self._rng.sample(runners, min(MAX_RUNNERS_ASKED, len(runners)))
        readings = [await self._read(runner) for runner in drawn]
        return [reading for reading in readings if reading is not None]

    async def _read(self, runner: Runner) -> RunnerReading | None:
        try:
            report = await self._runner_client.fetch_report(runner)
        except RunnerFailedError as error:
            extra = {"runner": runner.runner_id, "error": repr(error)}
            logger.info("runner not asked for room", extra=extra)
            return None
        n_requests = report.n_running + report.n_queued
        return RunnerReading(runner.runner_id, n_requests, runner.slots)

    def _start_over(self, items: list[OwedItem], readings: list[RunnerReading]) -> None:
        """Start those items over that are still overdue, and log what is believed."""
        lying = [item for item in items if item.is_overdue]
        for item in lying[:MAX_LINES_PER_CHECK]:
            logger.error(LEFT_LYING, extra=self._beliefs(item, readings))
        for service, home_id in {(i.need.service, i.asked_home) for i in lying}:
            self._slot_client.doubt_home(service, home_id, LEFT_LYING)
        for item in lying:
            self._metrics.count("items_started_over")
            item.start_over()

    def _beliefs(
        self, item: OwedItem, readings: list[RunnerReading]
    ) -> dict[str, object]:
        service, version, avoid = item.need
        home = self._slot_client.home_of(service)
        return {
            "item": item.item_id,
            **item.to_document(),
            "owner": self._state.view.own.host_id,
            "service": service,
            "version": version,
            "avoid": list(avoid),
            "asked_home": item.asked_home,
            "home": "" if home is None else home.host_id,
            "own_pool": self._slot_client.pool_document(service),
            "reports": {r.runner_id: f"{r.n_requests}/{r.n_slots}" for r in readings},
            "past_states": item.past_states(),
        }


def _service_and_version(item: OwedItem) -> tuple[str, str]:
    return item.need.service, item.need.version
