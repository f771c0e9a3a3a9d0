"""Budgets of billing minutes: how much batch may add to each, and who takes it.

The budget of a minute is one object, the pool. A host takes slices of it by
conditional update before it spends; a slice whose answer is lost, or that its host
does not use up, is wasted, so the sum that is spent never passes the pool.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import UTC, datetime
from typing import NamedTuple, TypeAlias

from damaskjunction.batch.documents import PoolDocument, UsageDocument
from damaskjunction.core import Registry

UNLIMITED = 1e15
FORECAST_MARGIN = 1.25
FORECAST_MINUTES = 3
RESERVE_FRACTION = 0.05
STATIC_FRACTION = 0.25
SLICES_PER_HOST = 8
MAX_SLICES = 600
LEAD_FRACTION = 0.2
MINUTES_KEPT = 5


class PeakInput(NamedTuple):
    """What the budget of a minute is made from, in units of the meter.

    ``ceiling`` is the operators' ceiling, 0 for none; ``online_peak`` the highest
    online minute of the billing period so far.
    """

    ceiling: float
    online_peak: float
    online_forecast: float


PeakPolicy: TypeAlias = Callable[[PeakInput], float]

peak_policies: Registry[PeakPolicy] = Registry("peak policy")


@peak_policies.register("below_peak")
def budget_below_peak(given: PeakInput) -> float:
    """Return what the forecast of online leaves below the ceiling or the peak."""
    bound = given.ceiling or given.online_peak
    return max(0.0, bound * (1 - RESERVE_FRACTION) - given.online_forecast)


@peak_policies.register("no_ceiling")
def budget_unlimited(given: PeakInput) -> float:
    """Return a budget that holds nothing back."""
    return UNLIMITED


@peak_policies.register("static_share")
def budget_static_share(given: PeakInput) -> float:
    """Return a fixed fraction of the ceiling or the peak, whatever online does."""
    return STATIC_FRACTION * (given.ceiling or given.online_peak)


def is_unlimited(policy: PeakPolicy) -> bool:
    """Return whether a policy holds nothing back, so that no pool is needed."""
    return policy(PeakInput(0.0, 0.0, 0.0)) >= UNLIMITED


def minute_of(wall_s: float, minute_s: float) -> int:
    """Return the number of the billing minute at a wall-clock time."""
    return int(wall_s // minute_s)


def period_of(wall_s: float) -> str:
    """Return the billing period, a calendar month, at a wall-clock time."""
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m")


def sum_by_minute(reports: Iterable[UsageDocument]) -> dict[int, float]:
    """Return the fleet's online usage by minute from its hosts' reports."""
    totals: dict[int, float] = {}
    for report in reports:
        for minute, used in report["online_by_minute"].items():
            totals[int(minute)] = totals.get(int(minute), 0.0) + used
    return totals


def forecast_online(reports: Iterable[UsageDocument], minute: int) -> float:
    """Return the expected online usage of the fleet in a minute.

    It is the busiest of the last minutes known, what usage grew by lately for each
    minute since, and a margin.
    """
    recent = _recent(sum_by_minute(reports), minute)
    if not recent:
        return 0.0
    last = max(recent)
    growth = max(0.0, recent[last] - recent.get(last - 1, recent[last]))
    return FORECAST_MARGIN * (max(recent.values()) + growth * (minute - last))


def expect_online(report: UsageDocument, minute: int) -> float:
    """Return the online usage of one host in a minute that a pool allows for."""
    recent = _recent(sum_by_minute([report]), minute)
    return max(recent.values(), default=0.0)


def _recent(used_by_minute: Mapping[int, float], minute: int) -> dict[int, float]:
    return {
        number: used
        for number, used in used_by_minute.items()
        if minute - FORECAST_MINUTES <= number < minute
    }


def make_pool(policy: PeakPolicy, given: PeakInput) -> PoolDocument:
    """Return the pool of a minute of which nothing is taken."""
    total = policy(given)
    return {
        "ceiling": given.ceiling or given.online_peak,
        "online_forecast": given.online_forecast,
        "total": total,
        "left": total,
    }


class Slice(NamedTuple):
    """What a host should take of a pool now; ``is_spent``: nothing until its end."""

    amount: float
    is_spent: bool = False


def slice_of(pool: PoolDocument, need: float, *, n_hosts: int, elapsed: float) -> Slice:
    """Return what a host should take of a pool.

    The pool is released as the minute goes by, ``LEAD_FRACTION`` of it at once, so
    that online above its forecast finds something to take back. ``elapsed`` is the
    fraction of the minute that has passed.
    """
    if pool["left"] < need:
        return Slice(0.0, is_spent=True)
    taken = pool["total"] - pool["left"]
    share = LEAD_FRACTION + (1 - LEAD_FRACTION) * elapsed
    released = pool["total"] * share - taken
    n_slices = min(MAX_SLICES, SLICES_PER_HOST * max(1, n_hosts))
    least = pool["total"] / n_slices
    amount = max(need, min(least, pool["left"]))
    return Slice(amount if amount <= released else 0.0)


class UsageLog:
    """Usage of one host by billing minute, in units of the meter."""

    def __init__(self) -> None:
        self.online_by_minute: dict[int, float] = {}
        self.batch_by_minute: dict[int, float] = {}

    def add_online(self, minute: int, used: float) -> None:
        """Count usage of online requests."""
        _add(self.online_by_minute, minute, used)

    def add_batch(self, minute: int, used: float) -> None:
        """Count usage of batch items."""
        _add(self.batch_by_minute, minute, used)

    def to_report(self, minute: int) -> UsageDocument:
        """Return the report of the minutes up to ``minute``."""
        known = {
            str(number): used
            for number, used in self.online_by_minute.items()
            if number <= minute
        }
        return {"online_by_minute": known}


def _add(used_by_minute: dict[int, float], minute: int, used: float) -> None:
    used_by_minute[minute] = used_by_minute.get(minute, 0.0) + used
    for number in [name for name in used_by_minute if name <= minute - MINUTES_KEPT]:
        del used_by_minute[number]


class HostBudget:
    """What one host may spend on batch in the current minute.

    Starting an item reserves its largest cost. What is in flight when a minute ends is
    owed to the next one, before anything new may start.
    """

    def __init__(self) -> None:
        self.minute = -1
        self._left = 0.0
        self._reserved_by_item: dict[str, float] = {}

    @property
    def left(self) -> float:
        """What may be reserved now; below 0 while items in flight are not covered."""
        return self._left

    def enter_minute(self, minute: int) -> None:
        """Drop what is left of the last minute and owe what is in flight."""
        if minute != self.minute:
            self.minute = minute
            self._left = -sum(self._reserved_by_item.values())

    def add(self, minute: int, amount: float) -> None:
        """Take a slice of the pool of ``minute``; one that came late is wasted."""
        if minute == self.minute:
            self._left += amount

    def yield_to_online(self, amount: float) -> None:
        """Give up what online used beyond its forecast."""
        self._left -= amount

    def reserve(self, item: str, cost: float) -> bool:
        """Reserve an item's largest cost; return whether there was room."""
        if self._left < cost:
            return False
        self._left -= cost
        self._reserved_by_item[item] = cost
        return True

    def spend(self, item: str, cost: float) -> None:
        """Take note that an item in flight used a part of its reservation."""
        reserved = self._reserved_by_item.get(item, 0.0)
        self._reserved_by_item[item] = max(0.0, reserved - cost)

    def settle(self, item: str) -> None:
        """Give back what an item that ended did not use."""
        self._left += self._reserved_by_item.pop(item, 0.0)
