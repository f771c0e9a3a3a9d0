"""Takes slices of each minute's batch budget for this host; reports online usage."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from typing import Any

from damaskjunction.batch import (
    BudgetSlice,
    PeakDocument,
    PeakInput,
    PoolDocument,
    UsageDocument,
    billing_period,
    compute_slice,
    decode,
    forecast_fleet_usage,
    forecast_host_usage,
    is_unlimited,
    make_pool,
    sum_by_minute,
)
from damaskjunction.core import (
    ConflictError,
    PlatformError,
    Revision,
    Subscription,
    Timers,
    rendezvous_order,
)
from damaskjunction.node.documents import PEAK_KIND, POOL_KIND, USAGE_KIND
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.serving.metering import Meter
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

TICKS_PER_MINUTE = 60
MAX_TAKE_ATTEMPTS = 12
MAX_RETRY_DELAY_FRACTION = 0.05  # of a billing minute
MAX_REPORT_DELAY_FRACTION = 0.1  # of a billing minute
RETAINED_POOLS = 3  # one pool per billing minute
PEAK_TRACKER_KEY = "peak"


class PeakBudget:
    """Fills this host's budget from the fleet's pool of each billing minute.

    Parameters
    ----------
    view : HostView
        Limits and live hosts.
    store : JobStore
        Stores the pools, usage reports and peaks.
    meter : Meter
        Usage of this host and its budget.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts the budget taken and reports what is left.
    rng : random.Random
        Spreads the hosts' retries and reports over the minute.
    """

    def __init__(
        self,
        view: HostView,
        store: JobStore,
        meter: Meter,
        *,
        timers: Timers,
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._store = store
        self._meter = meter
        self._timers = timers
        self._metrics = metrics
        self._rng = rng
        self._observers: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._tick: Subscription | None = None
        self._budget_requested = asyncio.Event()
        self._requested_cost = 0.0
        self._pool: PoolDocument | None = None
        self._pool_version: Revision = 0
        self._report_version: Revision | None = None
        self._last_report: UsageDocument = {"online_by_minute": {}}
        self._online_forecast = 0.0
        self._deducted_excess = 0.0
        self._minute_ended = asyncio.Event()
        self._is_waiting_for_release = False
        self._minute = -1
        self.spent_minute = -1
        meter.subscribe(self._on_online_usage)
        metrics.gauge("batch_budget_left", lambda: meter.budget.left)

    async def start(self) -> None:
        """Start tracking the billing minutes."""
        self._enter_minute()
        self._schedule_tick()
        loops = (self._take_slices(), self._report_usage())
        self._tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def close(self) -> None:
        """Stop tracking the billing minutes."""
        if self._tick is not None:
            self._tick.cancel()
        await cancel_tasks(self._tasks)

    def subscribe(self, observer: Callable[[], None]) -> None:
        """Call the observer when more budget may be available."""
        self._observers.append(observer)

    def request_budget(self, cost: float) -> None:
        """Request the missing budget for an item of this cost."""
        self._requested_cost = cost
        self._budget_requested.set()

    @property
    def is_spent(self) -> bool:
        """Whether the pool of the current minute is exhausted for this host."""
        return self.spent_minute == self._meter.minute()

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "minute": self._meter.budget.minute,
            "left": self._meter.budget.left,
            "pool": self._pool,
            "is_spent": self.is_spent,
            "online_by_minute": self._meter.history.online_by_minute,
            "batch_by_minute": self._meter.history.batch_by_minute,
        }

    def _schedule_tick(self) -> None:
        interval_s = self._view.configuration.batch.minute_s / TICKS_PER_MINUTE
        self._tick = self._timers.once(interval_s, self._on_tick)

    def _on_tick(self) -> None:
        self._schedule_tick()
        has_changed = self._enter_minute()
        if has_changed or self._is_waiting_for_release:
            self._is_waiting_for_release = False
            self._notify()

    def _enter_minute(self) -> bool:
        minute = self._meter.minute()
        if minute == self._minute:
            return False
        self._minute = minute
        self._meter.budget.enter_minute(minute)
        self._pool = None
        self._online_forecast = forecast_host_usage(self._last_report, minute)
        self._deducted_excess = 0.0
        self._minute_ended.set()
        return True

    def _notify(self) -> None:
        for observer in self._observers:
            observer()

    def _on_online_usage(self, used: float) -> None:
        """Reduce this host's budget by online usage above its forecast."""
        self._enter_minute()
        if self._pool is None:
            return
        self._deduct_online_excess()
        if self._meter.budget.left < 0:
            self.request_budget(0.0)

    def _deduct_online_excess(self) -> None:
        used_by_minute = self._meter.history.online_by_minute
        used = used_by_minute.get(self._minute, 0.0)
        excess = max(0.0, used - self._online_forecast * self._elapsed_fraction())
        self._meter.budget.deduct_online_excess(excess - self._deducted_excess)
        self._deducted_excess = excess

    async def _take_slices(self) -> None:
        while True:
            await self._budget_requested.wait()
            self._budget_requested.clear()
            self._enter_minute()
            if self.is_spent:
                continue
            try:
                await self._take_slice(self._minute)
            except PlatformError as error:
                logger.warning(
                    "taking a slice of the budget failed", extra={"error": str(error)}
                )
                minute_s = self._view.configuration.batch.minute_s
                await asyncio.sleep(
                    MAX_RETRY_DELAY_FRACTION * minute_s * self._rng.random()
                )
                self._budget_requested.set()

    async def _take_slice(self, minute: int) -> None:
        """Take a slice of the minute's pool, creating the pool if no host has yet."""
        budget = self._meter.budget
        if is_unlimited(self._meter.policy()):
            self._add_to_budget(minute, self._requested_cost - budget.left + 1.0)
            return
        if self._pool is None:
            await self._read_pool(minute)
        for _ in range(MAX_TAKE_ATTEMPTS):
            if self._pool is None:
                self._pool = await self._make_pool(minute)
            pool = self._pool
            shortfall = self._requested_cost - budget.left
            if shortfall <= 0:
                self._notify()
                return
            budget_slice = compute_slice(
                pool,
                shortfall,
                n_hosts=len(self._view.serving_hosts()),
                elapsed=self._elapsed_fraction(),
            )
            if budget_slice.amount <= 0:
                self._record_no_slice(minute, budget_slice)
                return
            left = pool["left"] - budget_slice.amount
            if await self._put_pool(minute, {**pool, "left": left}):
                self._deduct_online_excess()
                self._add_to_budget(minute, budget_slice.amount)
                return
        self._budget_requested.set()

    def _elapsed_fraction(self) -> float:
        """Return the fraction of the current minute that has passed."""
        minute_s = self._view.configuration.batch.minute_s
        return (self._timers.wall() % minute_s) / minute_s

    def _record_no_slice(self, minute: int, budget_slice: BudgetSlice) -> None:
        """Record whether the pool is exhausted or will release more this minute."""
        if budget_slice.is_spent:
            self.spent_minute = minute
            self._metrics.count("batch_budget_exhausted_total")
        else:
            self._is_waiting_for_release = True

    def _add_to_budget(self, minute: int, amount: float) -> None:
        self._metrics.count("batch_budget_taken_total", amount)
        self._meter.budget.add_slice(minute, amount)
        self._notify()

    async def _read_pool(self, minute: int) -> None:
        stored = await self._store.get(POOL_KIND, str(minute))
        self._pool_version = stored.version if stored is not None else 0
        self._pool = decode(stored.value) if stored is not None else None

    async def _put_pool(self, minute: int, pool: PoolDocument) -> bool:
        """Store a pool; on a conflict, load the stored pool and return False."""
        try:
            self._pool_version = await self._store.put(
                POOL_KIND, str(minute), pool, expected_version=self._pool_version
            )
        except ConflictError as error:
            self._pool_version = error.version
            self._pool = decode(error.value) if error.value else None
            return False
        self._pool = pool
        return True

    async def _make_pool(self, minute: int) -> PoolDocument:
        reports = self._store.list_kind(USAGE_KIND)
        usage = [decode(stored.value) async for stored in reports]
        peak = await self._store.get(PEAK_KIND, billing_period(self._timers.wall()))
        online_peak = decode(peak.value)["online_peak"] if peak is not None else 0.0
        peak_input = PeakInput(
            self._view.configuration.batch.ceiling_per_minute,
            online_peak,
            forecast_fleet_usage(usage, minute),
        )
        return make_pool(self._meter.policy(), peak_input)

    async def _report_usage(self) -> None:
        """Report online usage after each minute and update the period's peak."""
        while True:
            await self._minute_ended.wait()
            self._minute_ended.clear()
            minute = self._minute - 1
            minute_s = self._view.configuration.batch.minute_s
            await asyncio.sleep(
                MAX_REPORT_DELAY_FRACTION * minute_s * self._rng.random()
            )
            try:
                await self._store_report(minute)
                if self._is_peak_tracker():
                    await self._track_peak(minute)
            except PlatformError as error:
                logger.warning(
                    "report of online usage failed", extra={"error": str(error)}
                )

    async def _store_report(self, minute: int) -> None:
        report = self._meter.history.to_report(minute)
        if not any(report["online_by_minute"].values()):
            return
        name = self._view.own.host_id
        if self._report_version is None:
            stored = await self._store.get(USAGE_KIND, name)
            self._report_version = stored.version if stored is not None else 0
        try:
            self._report_version = await self._store.put(
                USAGE_KIND, name, report, expected_version=self._report_version
            )
            self._last_report = report
        except ConflictError as error:
            self._report_version = error.version

    def _is_peak_tracker(self) -> bool:
        hosts = [(host.host_id, 1.0) for host in self._view.serving_hosts()]
        return rendezvous_order(PEAK_TRACKER_KEY, hosts)[:1] == [self._view.own.host_id]

    async def _track_peak(self, minute: int) -> None:
        """Raise the period's peak to the highest usage before ``minute``.

        The reports on ``minute`` itself may still be incomplete. Old pools are deleted.
        """
        reports = self._store.list_kind(USAGE_KIND)
        totals = sum_by_minute([decode(stored.value) async for stored in reports])
        highest_usage = max(
            (used for m, used in totals.items() if m < minute), default=0.0
        )
        period = billing_period(self._timers.wall())
        stored = await self._store.get(PEAK_KIND, period)
        stored_peak = decode(stored.value)["online_peak"] if stored is not None else 0.0
        if highest_usage > stored_peak:
            document: PeakDocument = {"online_peak": highest_usage}
            version = stored.version if stored is not None else 0
            await self._store.put(PEAK_KIND, period, document, expected_version=version)
        async for pool in self._store.list_kind(POOL_KIND):
            if int(pool.name) < minute - RETAINED_POOLS:
                await self._store.delete(POOL_KIND, pool.name, pool.version)
