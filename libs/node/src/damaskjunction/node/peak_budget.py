"""Takes this host's share of each minute's batch budget, and reports online usage."""

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
from damaskjunction.node.job_store import JobStore
from damaskjunction.node.metering import Meter
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

TICKS_PER_MINUTE = 60
TAKE_ATTEMPTS = 12
RETRY_FRACTION = 0.05
REPORT_FRACTION = 0.1
POOLS_KEPT = 3
TRACKER_KEY = "peak"


class PeakBudget:
    """The link between this host's budget and the pool of each minute.

    Parameters
    ----------
    view : HostView
        Limits and live hosts.
    store : JobStore
        Holds pools and reports.
    meter : Meter
        Usage of this host and its budget.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts what was taken.
    chance : random.Random
        Spreads the hosts over the minute.
    """

    def __init__(
        self,
        view: HostView,
        store: JobStore,
        meter: Meter,
        *,
        timers: Timers,
        metrics: Metrics,
        chance: random.Random,
    ) -> None:
        self._view = view
        self._store = store
        self._meter = meter
        self._timers = timers
        self._metrics = metrics
        self._chance = chance
        self._observers: list[Callable[[], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._tick: Subscription | None = None
        self._asked = asyncio.Event()
        self._cost = 0.0
        self._pool: PoolDocument | None = None
        self._version: Revision = 0
        self._report_version: Revision | None = None
        self._reported: UsageDocument = {"online_by_minute": {}}
        self._expected = 0.0
        self._yielded = 0.0
        self._minute_ended = asyncio.Event()
        self._is_paced = False
        self._minute = -1
        self.spent_minute = -1
        meter.subscribe(self._yield_to_online)
        metrics.gauge("batch_budget_left", lambda: meter.budget.left)

    async def start(self) -> None:
        """Follow the billing minutes."""
        self._enter_minute()
        self._arm()
        loops = (self._take_slices(), self._report_usage())
        self._tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def close(self) -> None:
        """Stop following."""
        if self._tick is not None:
            self._tick.cancel()
        await cancel_tasks(self._tasks)

    def subscribe(self, observer: Callable[[], None]) -> None:
        """Call back when there may be more budget."""
        self._observers.append(observer)

    def ask(self, cost: float) -> None:
        """Ask for the budget that an item of this cost lacks."""
        self._cost = cost
        self._asked.set()

    @property
    def is_spent(self) -> bool:
        """Whether the pool of the current minute has nothing left for this host."""
        return self.spent_minute == self._meter.minute()

    def to_document(self) -> dict[str, Any]:
        """Return the state for the dump."""
        return {
            "minute": self._meter.budget.minute,
            "left": self._meter.budget.left,
            "pool": self._pool,
            "is_spent": self.is_spent,
            "online_by_minute": self._meter.log.online_by_minute,
            "batch_by_minute": self._meter.log.batch_by_minute,
        }

    def _arm(self) -> None:
        interval_s = self._view.configuration.batch.minute_s / TICKS_PER_MINUTE
        self._tick = self._timers.once(interval_s, self._on_tick)

    def _on_tick(self) -> None:
        self._arm()
        has_changed = self._enter_minute()
        if has_changed or self._is_paced:
            self._is_paced = False
            self._notify()

    def _enter_minute(self) -> bool:
        minute = self._meter.minute()
        if minute == self._minute:
            return False
        self._minute = minute
        self._meter.budget.enter_minute(minute)
        self._pool = None
        self._expected = forecast_host_usage(self._reported, minute)
        self._yielded = 0.0
        self._minute_ended.set()
        return True

    def _notify(self) -> None:
        for observer in self._observers:
            observer()

    def _yield_to_online(self, used: float) -> None:
        """Make room for online that is above its forecast."""
        self._enter_minute()
        if self._pool is None:
            return
        self._yield_excess()
        if self._meter.budget.left < 0:
            self.ask(0.0)

    def _yield_excess(self) -> None:
        used_by_minute = self._meter.log.online_by_minute
        used = used_by_minute.get(self._minute, 0.0)
        excess = max(0.0, used - self._expected * self._elapsed())
        self._meter.budget.deduct_online_excess(excess - self._yielded)
        self._yielded = excess

    async def _take_slices(self) -> None:
        while True:
            await self._asked.wait()
            self._asked.clear()
            self._enter_minute()
            if self.is_spent:
                continue
            try:
                await self._take_slice(self._minute)
            except PlatformError as error:
                logger.warning("no budget taken", extra={"error": str(error)})
                minute_s = self._view.configuration.batch.minute_s
                await asyncio.sleep(RETRY_FRACTION * minute_s * self._chance.random())
                self._asked.set()

    async def _take_slice(self, minute: int) -> None:
        """Take a slice of the minute's pool, which the first host makes."""
        budget = self._meter.budget
        if is_unlimited(self._meter.policy()):
            self._grant(minute, self._cost - budget.left + 1.0)
            return
        if self._pool is None:
            await self._read_pool(minute)
        for _ in range(TAKE_ATTEMPTS):
            if self._pool is None:
                self._pool = await self._make_pool(minute)
            pool = self._pool
            need = self._cost - budget.left
            if need <= 0:
                self._notify()
                return
            taken = compute_slice(
                pool,
                need,
                n_hosts=len(self._view.serving_hosts()),
                elapsed=self._elapsed(),
            )
            if taken.amount <= 0:
                self._hold(minute, taken)
                return
            left = pool["left"] - taken.amount
            if await self._put_pool(minute, {**pool, "left": left}):
                self._yield_excess()
                self._grant(minute, taken.amount)
                return
        self._asked.set()

    def _elapsed(self) -> float:
        """Return the fraction of the current minute that has passed."""
        minute_s = self._view.configuration.batch.minute_s
        return (self._timers.wall() % minute_s) / minute_s

    def _hold(self, minute: int, taken: BudgetSlice) -> None:
        """Wait for the pool to release more, or for the next minute."""
        if taken.is_spent:
            self.spent_minute = minute
            self._metrics.count("batch_budget_exhausted_total")
        else:
            self._is_paced = True

    def _grant(self, minute: int, amount: float) -> None:
        self._metrics.count("batch_budget_taken_total", amount)
        self._meter.budget.add_slice(minute, amount)
        self._notify()

    async def _read_pool(self, minute: int) -> None:
        stored = await self._store.get(POOL_KIND, str(minute))
        self._version = stored.version if stored is not None else 0
        self._pool = decode(stored.value) if stored is not None else None

    async def _put_pool(self, minute: int, pool: PoolDocument) -> bool:
        """Store a pool; one that another host changed first is taken over."""
        try:
            self._version = await self._store.put(
                POOL_KIND, str(minute), pool, expected_version=self._version
            )
        except ConflictError as error:
            self._version = error.version
            self._pool = decode(error.value) if error.value else None
            return False
        self._pool = pool
        return True

    async def _make_pool(self, minute: int) -> PoolDocument:
        reports = self._store.list_kind(USAGE_KIND)
        usage = [decode(stored.value) async for stored in reports]
        peak = await self._store.get(PEAK_KIND, billing_period(self._timers.wall()))
        online_peak = decode(peak.value)["online_peak"] if peak is not None else 0.0
        given = PeakInput(
            self._view.configuration.batch.ceiling_per_minute,
            online_peak,
            forecast_fleet_usage(usage, minute),
        )
        return make_pool(self._meter.policy(), given)

    async def _report_usage(self) -> None:
        """Report online usage after each minute, and keep the period's peak."""
        while True:
            await self._minute_ended.wait()
            self._minute_ended.clear()
            minute = self._minute - 1
            minute_s = self._view.configuration.batch.minute_s
            await asyncio.sleep(REPORT_FRACTION * minute_s * self._chance.random())
            try:
                await self._report(minute)
                if self._is_tracker():
                    await self._track_peak(minute)
            except PlatformError as error:
                logger.warning("usage not reported", extra={"error": str(error)})

    async def _report(self, minute: int) -> None:
        report = self._meter.log.to_report(minute)
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
            self._reported = report
        except ConflictError as error:
            self._report_version = error.version

    def _is_tracker(self) -> bool:
        hosts = [(host.host_id, 1.0) for host in self._view.serving_hosts()]
        return rendezvous_order(TRACKER_KEY, hosts)[:1] == [self._view.own.host_id]

    async def _track_peak(self, minute: int) -> None:
        """Raise the period's online peak to the minutes before the last one."""
        reports = self._store.list_kind(USAGE_KIND)
        totals = sum_by_minute([decode(stored.value) async for stored in reports])
        busiest = max((used for m, used in totals.items() if m < minute), default=0.0)
        period = billing_period(self._timers.wall())
        stored = await self._store.get(PEAK_KIND, period)
        known = decode(stored.value)["online_peak"] if stored is not None else 0.0
        if busiest > known:
            document: PeakDocument = {"online_peak": busiest}
            version = stored.version if stored is not None else 0
            await self._store.put(PEAK_KIND, period, document, expected_version=version)
        async for pool in self._store.list_kind(POOL_KIND):
            if int(pool.name) < minute - POOLS_KEPT:
                await self._store.delete(POOL_KIND, pool.name, pool.version)
