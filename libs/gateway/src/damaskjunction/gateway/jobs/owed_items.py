"""The items that this host owes: what each waits for, since when, and why."""

from __future__ import annotations

import asyncio
import heapq
import logging
from collections import deque
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from enum import StrEnum
from typing import NamedTuple, TypedDict

from damaskjunction.batch import ItemResult, PlacementClock, is_overdue
from damaskjunction.core import (
    HostId,
    JobId,
    RunnerId,
    ServiceName,
    Subscription,
    Timers,
)
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

CHECK_PERIOD_S = 1.0
LONG_WAIT_S = 5.0
MAX_LINES_PER_CHECK = 20
MAX_STATES_KEPT = 8


class ItemState(StrEnum):
    """What an owed item is doing or waiting for."""

    QUEUED = "queued on this host"
    NO_ROUTE = "its route is not in force"
    DELAYED = "delayed before a retry"
    WAITING_FOR_SLOT = "waiting for a slot"
    RUNNING = "at a runner"
    CLOSING = "ending an attempt"
    STORING = "waiting for the store"


# Longest time that each state lasts; the others end when others act.
MAX_TIME_S_BY_STATE: Mapping[ItemState, float] = {
    ItemState.DELAYED: 10.0,
    ItemState.WAITING_FOR_SLOT: 10.0,
    ItemState.RUNNING: 130.0,
    ItemState.CLOSING: 10.0,
}


# States in which an item could be at a runner. One that is queued is behind others.
PLACEABLE_STATES = (
    ItemState.DELAYED,
    ItemState.WAITING_FOR_SLOT,
    ItemState.CLOSING,
)


class ItemNeed(NamedTuple):
    """What an item last asked for; an empty version stands for any."""

    service: ServiceName = ""
    version: str = ""
    avoid: tuple[RunnerId, ...] = ()


class _PastState(NamedTuple):
    state: ItemState
    place: str
    entered_at_s: float


class OwedItemDocument(TypedDict):
    """An owed item in the dump; times are in seconds."""

    job: JobId
    state: str
    reason: str
    place: str
    since_s: float
    at_no_runner_s: float
    owed_s: float


class OwedItem:
    """The progress of one owed item.

    ``place`` is the host or the runner that the item is at, ``reason`` the outcome of
    its last attempt. ``run`` is what runs it; it is cancelled when the item stays in a
    state for longer than that lasts. ``waited_s`` are the seconds for which it was owed
    before it began. ``need`` is what its last ask for a slot was for,
    ``asked_home`` the host that it was sent to.
    """

    def __init__(
        self,
        item_id: str,
        job_id: JobId,
        timers: Timers,
        since_s: float | None = None,
    ) -> None:
        self.item_id = item_id
        self.job_id = job_id
        self.run: asyncio.Future[ItemResult] | None = None
        self.state = ItemState.QUEUED
        self.reason = ""
        self.place = ""
        self.need = ItemNeed()
        self.asked_home: HostId = ""
        self._timers = timers
        begun_at_s = timers.now()
        self._owed_at_s = begun_at_s if since_s is None else since_s
        self.waited_s = begun_at_s - self._owed_at_s
        self._changed_at_s = self._owed_at_s
        self._at_runner_until_s = self._owed_at_s
        self.logged_at_s = self._owed_at_s
        self._n_checks = 0
        self._clock = PlacementClock(self._owed_at_s)
        self._past_states: deque[_PastState] = deque(maxlen=MAX_STATES_KEPT)

    def enter(self, state: ItemState, *, place: str = "") -> None:
        """Record a state, or that the item is in the same one at another place."""
        now_s = self._timers.now()
        if state is not self.state:
            self._changed_at_s = now_s
        if ItemState.RUNNING in (state, self.state):
            self._at_runner_until_s = self.logged_at_s = now_s
        if state is ItemState.RUNNING:
            self._clock.begin_run(now_s)
        else:
            self._clock.end_run(now_s)
        if state is ItemState.WAITING_FOR_SLOT:
            self.asked_home = place
        self._past_states.append(_PastState(state, place, now_s))
        self.state = state
        self.place = place
        self._n_checks = 0

    def check_progress(self) -> None:
        """Cancel the run if the item has stayed in a state for too long.

        Called each ``CHECK_PERIOD_S``: a process that was stopped gets no calls, and
        its items are not blamed for that time.
        """
        self._n_checks += 1
        max_time_s = MAX_TIME_S_BY_STATE.get(self.state)
        if max_time_s is None or self.run is None:
            return
        if self._n_checks * CHECK_PERIOD_S > max_time_s:
            self._n_checks = 0
            extra = {"item": self.item_id, **self.to_document()}
            logger.error("item is stuck", extra=extra)
            self.run.cancel()

    def record_work(self) -> None:
        """Record that a runner has worked on the item."""
        self._clock.restart(self._timers.now())

    @property
    def is_overdue(self) -> bool:
        """Whether the item should be at a runner, if one that may take it has room."""
        unplaced_s = self._clock.unplaced_s(self._timers.now())
        return self.state in PLACEABLE_STATES and is_overdue(unplaced_s)

    def start_over(self) -> None:
        """Cancel the run; the next one knows nothing of the present one."""
        self._clock.restart(self._timers.now())
        if self.run is not None:
            self.run.cancel()

    def past_states(self) -> list[str]:
        """Return the latest states with their places and ages, the oldest first."""
        now_s = self._timers.now()
        return [
            f"{past.state.value} {past.place} {now_s - past.entered_at_s:.2f} s ago"
            for past in self._past_states
        ]

    @property
    def owed_s(self) -> float:
        """Seconds since this host began to owe the item."""
        return self._timers.now() - self._owed_at_s

    @property
    def at_no_runner_s(self) -> float:
        """Seconds since the item was last at a runner, or began to be owed."""
        if self.state is ItemState.RUNNING:
            return 0.0
        return self._timers.now() - self._at_runner_until_s

    def to_document(self) -> OwedItemDocument:
        """Return the item for the dump and the log."""
        return {
            "job": self.job_id,
            "state": self.state.value,
            "reason": self.reason,
            "place": self.place,
            "since_s": round(self._timers.now() - self._changed_at_s, 3),
            "at_no_runner_s": round(self.at_no_runner_s, 3),
            "owed_s": round(self.owed_s, 3),
        }


class OwedItems:
    """The items owed by this host; logs those that wait or run for long.

    An item is logged after each ``LONG_WAIT_S`` in which it did not reach or leave a
    runner. If these are many, those go first that hold a place, then those that were
    logged longest ago.

    The run of an item that is stuck in a state is cancelled.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Receives the number of owed items and the age of the oldest.
    """

    def __init__(self, timers: Timers, metrics: Metrics) -> None:
        self._timers = timers
        self._items: dict[OwedItem, None] = {}  # ordered by age
        self._check: Subscription | None = None
        metrics.gauge("items_owed", lambda: float(len(self._items)))
        metrics.gauge("oldest_owed_item_s", lambda: self.oldest_s)

    async def start(self) -> None:
        """Start checking the items."""
        self._check = self._timers.every(CHECK_PERIOD_S, self._check_items)

    async def close(self) -> None:
        """Stop checking."""
        if self._check is not None:
            self._check.cancel()

    @property
    def oldest_s(self) -> float:
        """Seconds for which the oldest item has been owed, 0 without items."""
        oldest = next(iter(self._items), None)
        return 0.0 if oldest is None else oldest.owed_s

    @contextmanager
    def track(
        self, job_id: JobId, item_id: str, since_s: float | None = None
    ) -> Iterator[OwedItem]:
        """Track an item until the end of the block; it is owed since a time, or now."""
        item = OwedItem(item_id, job_id, self._timers, since_s)
        self._items[item] = None
        try:
            yield item
        finally:
            del self._items[item]

    def ids_of(self, job_id: JobId) -> set[str]:
        """Return the ids of the owed items of a job."""
        return {item.item_id for item in self._items if item.job_id == job_id}

    def overdue(self) -> list[OwedItem]:
        """Return the overdue items, those that have been owed for longest first."""
        return [item for item in self._items if item.is_overdue]

    def to_document(self) -> dict[str, OwedItemDocument]:
        """Return all owed items for the dump, the oldest first."""
        return {item.item_id: item.to_document() for item in self._items}

    def _check_items(self) -> None:
        for item in self._items:
            item.check_progress()
        self._log_long_waits()

    def _log_long_waits(self) -> None:
        now_s = self._timers.now()
        due = [i for i in self._items if now_s - i.logged_at_s >= LONG_WAIT_S]
        for item in heapq.nsmallest(MAX_LINES_PER_CHECK, due, key=_log_order):
            item.logged_at_s = now_s
            extra = {"item": item.item_id, **item.to_document()}
            logger.warning("item waits long", extra=extra)


def _log_order(item: OwedItem) -> tuple[bool, float]:
    return item.state is ItemState.QUEUED, item.logged_at_s
