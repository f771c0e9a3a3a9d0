"""Completion forecast of a job: on time, at risk or late, with the reason."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

# A job is at risk if it needs more than this fraction of the time until its deadline.
AT_RISK_FRACTION = 0.8


class Prospect(StrEnum):
    """Whether a job is expected to meet its deadline."""

    ON_TIME = "on_time"
    AT_RISK = "at_risk"
    LATE = "late"


class JobProgress(NamedTuple):
    """Progress of an open job.

    ``n_finished`` counts items with an output and failed items. ``elapsed_s`` is the
    time since acceptance and ``left_s`` the time until the deadline, in seconds.
    ``is_budget_spent`` is true while items cannot start because the batch budget of the
    current minute is exhausted.
    """

    n_items: int
    n_finished: int
    elapsed_s: float
    left_s: float
    has_runners: bool = True
    is_budget_spent: bool = False


class Forecast(NamedTuple):
    """Prospect of a job, the reason, and estimated seconds until completion.

    ``remaining_s`` is None if items are left and none has finished so far, or the
    deadline has passed.
    """

    prospect: Prospect
    reason: str
    remaining_s: float | None = None


def forecast_job(progress: JobProgress) -> Forecast:
    """Forecast an open job by extrapolating its average throughput.

    While no item has finished, a job is at risk if it has no runner, or if more than
    ``1 - AT_RISK_FRACTION`` of the time from acceptance to deadline has passed.
    """
    n_left = progress.n_items - progress.n_finished
    if n_left <= 0:
        return Forecast(Prospect.ON_TIME, "all items are finished", 0.0)
    if progress.left_s <= 0:
        reason = f"{n_left} items are unfinished after the deadline{_cause(progress)}"
        return Forecast(Prospect.LATE, reason)
    if progress.n_finished == 0:
        return _forecast_without_finished(progress)
    remaining_s = n_left * progress.elapsed_s / progress.n_finished
    reason = (
        f"{n_left} items need {remaining_s:.0f} s at the average throughput, "
        f"{progress.left_s:.0f} s remain until the deadline{_cause(progress)}"
    )
    if remaining_s > progress.left_s:
        return Forecast(Prospect.LATE, reason, remaining_s)
    if remaining_s > AT_RISK_FRACTION * progress.left_s:
        return Forecast(Prospect.AT_RISK, reason, remaining_s)
    return Forecast(Prospect.ON_TIME, reason, remaining_s)


def _forecast_without_finished(progress: JobProgress) -> Forecast:
    total_s = progress.elapsed_s + progress.left_s
    is_at_risk = progress.elapsed_s > (1 - AT_RISK_FRACTION) * total_s
    prospect = Prospect.AT_RISK if is_at_risk else Prospect.ON_TIME
    if not progress.has_runners:
        prospect = Prospect.AT_RISK
    reason = f"no item is finished after {progress.elapsed_s:.0f} s{_cause(progress)}"
    return Forecast(prospect, reason)


def _cause(progress: JobProgress) -> str:
    if not progress.has_runners:
        return "; no runner is available"
    if progress.is_budget_spent:
        return "; the batch budget of the current minute is exhausted"
    return ""
