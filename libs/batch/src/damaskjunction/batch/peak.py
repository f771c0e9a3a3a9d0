"""Batch usage budget per billing minute, shared by the hosts of the fleet.

The budget of a minute is stored as one object, the pool. A host acquires slices of it
by conditional update before it uses them. A slice is lost if the response to its
update is lost or the host does not use it up, so total usage never exceeds the pool.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from datetime import UTC, datetime
from typing import NamedTuple, TypeAlias

from damaskjunction.batch.documents import PoolDocument, UsageDocument
from damaskjunction.core import Registry

UNLIMITED = 1e15  # represents the absence of a limit, in units of the usage meter
FORECAST_MARGIN = 1.25
FORECAST_WINDOW_MINUTES = 3
HEADROOM_FRACTION = 0.05  # of the ceiling or online peak, left unused
STATIC_FRACTION = 0.25  # of the ceiling or online peak
SLICES_PER_HOST = 8
MAX_SLICES = 600
INITIAL_RELEASE_FRACTION = 0.2
RETAINED_MINUTES = 5


class PeakInput(NamedTuple):
    """Inputs to the budget of a minute, in units of the usage meter.

    ``ceiling`` is the configured ceiling per minute, 0 for none; ``online_peak`` is the
    highest online usage in any minute of the billing period so far.
    """

    ceiling: float
    online_peak: float
    online_forecast: float


PeakPolicy: TypeAlias = Callable[[PeakInput], float]

peak_policies: Registry[PeakPolicy] = Registry("peak policy")


@peak_policies.register("below_peak")
def budget_below_peak(inputs: PeakInput) -> float:
    """Return the ceiling or peak less headroom and forecast online usage."""
    limit = inputs.ceiling or inputs.online_peak
    return max(0.0, limit * (1 - HEADROOM_FRACTION) - inputs.online_forecast)


@peak_policies.register("no_ceiling")
def budget_unlimited(inputs: PeakInput) -> float:
    """Return an unlimited budget."""
    return UNLIMITED


@peak_policies.register("static_share")
def budget_static_share(inputs: PeakInput) -> float:
    """Return a fixed fraction of the ceiling or peak, ignoring online usage."""
    return STATIC_FRACTION * (inputs.ceiling or inputs.online_peak)


def is_unlimited(policy: PeakPolicy) -> bool:
    """Return whether a policy never limits batch, so that no pool is needed."""
    return policy(PeakInput(0.0, 0.0, 0.0)) >= UNLIMITED


def billing_minute(wall_s: float, minute_s: float) -> int:
    """Return the billing minute that contains a Unix time in seconds."""
    return int(wall_s // minute_s)


def billing_period(wall_s: float) -> str:
    """Return the billing period, a calendar month in UTC, of a Unix time."""
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m")


def sum_by_minute(reports: Iterable[UsageDocument]) -> dict[int, float]:
    """Sum the hosts' reports to the online usage of the fleet per minute."""
    totals: dict[int, float] = {}
    for report in reports:
        for minute, used in report["online_by_minute"].items():
            totals[int(minute)] = totals.get(int(minute), 0.0) + used
    return totals


def forecast_fleet_usage(reports: Iterable[UsageDocument], minute: int) -> float:
    """Forecast the online usage of the fleet in a minute.

    The forecast is the highest usage of the last ``FORECAST_WINDOW_MINUTES`` minutes
    plus the latest growth per minute, extrapolated from the last reported minute; the
    sum is multiplied by ``FORECAST_MARGIN``. Growth is extrapolated for the fleet as a
    whole, because the sum of each host's own growth would overestimate it.
    """
    recent = _recent_usage(sum_by_minute(reports), minute)
    if not recent:
        return 0.0
    last = max(recent)
    growth = max(0.0, recent[last] - recent.get(last - 1, recent[last]))
    return FORECAST_MARGIN * (max(recent.values()) + growth * (minute - last))


def forecast_host_usage(report: UsageDocument, minute: int) -> float:
    """Forecast the online usage of one host as its highest usage of recent minutes.

    Usage in excess of this forecast is deducted from the host's batch budget.
    """
    recent = _recent_usage(sum_by_minute([report]), minute)
    return max(recent.values(), default=0.0)


def _recent_usage(used_by_minute: Mapping[int, float], minute: int) -> dict[int, float]:
    return {
        number: used
        for number, used in used_by_minute.items()
        if minute - FORECAST_WINDOW_MINUTES <= number < minute
    }


def make_pool(policy: PeakPolicy, inputs: PeakInput) -> PoolDocument:
    """Return a new pool for a minute, with the whole budget available."""
    total = policy(inputs)
    return {
        "ceiling": inputs.ceiling or inputs.online_peak,
        "online_forecast": inputs.online_forecast,
        "total": total,
        "left": total,
    }


class BudgetSlice(NamedTuple):
    """Amount to acquire now.

    The amount is 0 if the pool has not yet released enough, and also if ``is_spent``:
    less is left of the pool than needed, and the host acquires no more this minute.
    """

    amount: float
    is_spent: bool = False


def compute_slice(
    pool: PoolDocument, need: float, *, n_hosts: int, elapsed: float
) -> BudgetSlice:
    """Return how much of a pool a host should acquire.

    ``INITIAL_RELEASE_FRACTION`` of the pool is available at the start of the minute
    and the rest is released linearly over it, so that part of the budget can still be
    withdrawn when online usage exceeds its forecast. ``elapsed`` is the elapsed
    fraction of the minute.

    A slice covers ``need``. Its minimum size is the total of the pool divided by
    ``SLICES_PER_HOST`` slices per host, but at most ``MAX_SLICES`` slices in all, which
    bounds the number of updates of the pool per minute.
    """
    if pool["left"] < need:
        return BudgetSlice(0.0, is_spent=True)
    taken = pool["total"] - pool["left"]
    released_fraction = (
        INITIAL_RELEASE_FRACTION + (1 - INITIAL_RELEASE_FRACTION) * elapsed
    )
    released = pool["total"] * released_fraction - taken
    n_slices = min(MAX_SLICES, SLICES_PER_HOST * max(1, n_hosts))
    min_amount = pool["total"] / n_slices
    amount = max(need, min(min_amount, pool["left"]))
    return BudgetSlice(amount if amount <= released else 0.0)


class UsageHistory:
    """Usage of one host per billing minute, in units of the usage meter."""

    def __init__(self) -> None:
        self.online_by_minute: dict[int, float] = {}
        self.batch_by_minute: dict[int, float] = {}

    def add_online(self, minute: int, used: float) -> None:
        """Add usage of online requests."""
        _add_usage(self.online_by_minute, minute, used)

    def add_batch(self, minute: int, used: float) -> None:
        """Add usage of batch items."""
        _add_usage(self.batch_by_minute, minute, used)

    def to_report(self, minute: int) -> UsageDocument:
        """Return the usage report for the minutes up to and including ``minute``."""
        known = {
            str(number): used
            for number, used in self.online_by_minute.items()
            if number <= minute
        }
        return {"online_by_minute": known}


def _add_usage(used_by_minute: dict[int, float], minute: int, used: float) -> None:
    used_by_minute[minute] = used_by_minute.get(minute, 0.0) + used
    for number in [
        known for known in used_by_minute if known <= minute - RETAINED_MINUTES
    ]:
        del used_by_minute[number]


class HostBudget:
    """Budget that one host may use for batch in the current minute.

    Starting an item reserves its maximum cost. Reservations of items in flight at the
    end of a minute are charged to the next minute and must be covered before new items
    start.
    """

    def __init__(self) -> None:
        self.minute = -1
        self._left = 0.0
        self._reserved_by_item: dict[str, float] = {}

    @property
    def left(self) -> float:
        """Unreserved budget; negative while items in flight are not covered."""
        return self._left

    def enter_minute(self, minute: int) -> None:
        """Discard the budget of the last minute and charge the items in flight."""
        if minute != self.minute:
            self.minute = minute
            self._left = -sum(self._reserved_by_item.values())

    def add_slice(self, minute: int, amount: float) -> None:
        """Add a slice of the pool of ``minute``; ignored if that minute is over."""
        if minute == self.minute:
            self._left += amount

    def deduct_online_excess(self, amount: float) -> None:
        """Deduct the change of online usage in excess of its forecast.

        A negative amount returns budget.
        """
        self._left -= amount

    def reserve(self, item: str, cost: float) -> bool:
        """Reserve the maximum cost of an item; return whether the budget allows it."""
        if self._left < cost:
            return False
        self._left -= cost
        self._reserved_by_item[item] = cost
        return True

    def spend(self, item: str, cost: float) -> None:
        """Consume part of the reservation of an item in flight."""
        reserved = self._reserved_by_item.get(item, 0.0)
        self._reserved_by_item[item] = max(0.0, reserved - cost)

    def release(self, item: str) -> None:
        """Return the unused reservation of a finished item to the budget."""
        self._left += self._reserved_by_item.pop(item, 0.0)
