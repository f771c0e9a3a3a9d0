"""Checks that no accepted item of a batch job is stuck."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Iterator
from typing import NamedTuple

from damaskjunction.core import JobId
from damaskjunction.lab.soak.checks import checks
from damaskjunction.lab.soak.history import History

# From the end of a fault until all hosts count as caught up, in seconds.
CATCH_UP_S = 4.7
MAX_STUCK_S = 5.0  # in calm, with room
MIN_FREE_FRACTION = 0.5
FINISH_S = 18.0  # for all jobs, after the last fault
READ_SLACK_S = 2.0  # until a caller has read what is listed


class Span(NamedTuple):
    """A period of time, in seconds on the soak's clock."""

    since_s: float
    until_s: float

    def overlap(self, other: Span) -> Span:
        """Return the common part, which has a negative length if there is none."""
        return Span(max(self.since_s, other.since_s), min(self.until_s, other.until_s))


class StuckItem(NamedTuple):
    """An item that was neither listed nor at a runner in a calm period with room."""

    item: str
    span: Span


class _AcceptedItem(NamedTuple):
    item: str
    accepted_at_s: float
    listed_at_s: float | None


def calm_spans(history: History, ignored_kinds: Collection[str] = ()) -> list[Span]:
    """Return the periods that begin ``CATCH_UP_S`` after a fault, up to the next.

    Faults of ``ignored_kinds`` do not end them.
    """
    end_s = history.rooms[-1].at_s if history.rooms else 0.0
    calm = []
    quiet_since_s = 0.0
    faults = [span for span in history.fault_spans if span.kind not in ignored_kinds]
    for fault in sorted(faults, key=lambda fault: fault.since_s):
        calm.append(Span(quiet_since_s, fault.since_s))
        quiet_since_s = max(quiet_since_s, fault.until_s + CATCH_UP_S)
    calm.append(Span(quiet_since_s, end_s))
    return [span for span in calm if span.since_s < span.until_s]


def find_stuck(history: History) -> list[StuckItem]:
    """Return the items that were stuck for longer than ``MAX_STUCK_S``."""
    found = []
    spans = _spans_with_room(history)
    if not spans:
        return []
    idle_by_item = _idle_spans_by_item(history)
    for accepted in _accepted_items(history):
        for idle in idle_by_item.get(accepted.item, [Span(0.0, float("inf"))]):
            until_s = accepted.listed_at_s
            wait = Span(accepted.accepted_at_s, float("inf"))
            if until_s is not None:
                wait = wait._replace(until_s=until_s)
            waits = [span.overlap(idle).overlap(wait) for span in spans]
            longest = max(waits, key=lambda span: span.until_s - span.since_s)
            if longest.until_s - longest.since_s > MAX_STUCK_S:
                found.append(StuckItem(accepted.item, longest))
    return found


def _spans_with_room(history: History) -> list[Span]:
    """Return the calm periods in which the engines were less than half full."""
    spans = []
    for calm in calm_spans(history):
        since_s: float | None = None
        for room in history.rooms:
            is_free = room.free_fraction >= MIN_FREE_FRACTION
            if not calm.since_s <= room.at_s <= calm.until_s:
                continue
            if is_free and since_s is None:
                since_s = room.at_s
            elif not is_free and since_s is not None:
                spans.append(Span(since_s, room.at_s))
                since_s = None
        if since_s is not None:
            spans.append(Span(since_s, calm.until_s))
    return [span for span in spans if span.until_s - span.since_s > MAX_STUCK_S]


def _idle_spans_by_item(history: History) -> dict[str, list[Span]]:
    """Return the periods in which no runner had an item, for each that ever ran."""
    changes_by_item: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for run in history.runs:
        changes_by_item[run.request_id].append((run.at_s, 1))
    for end in history.run_ends:
        if end.request_id in changes_by_item:
            changes_by_item[end.request_id].append((end.at_s, -1))
    idle_by_item = {}
    for item, changes in changes_by_item.items():
        n_runs = 0
        since_s = 0.0
        idle = []
        for at_s, change in sorted(changes, key=lambda change: change[0]):
            if n_runs == 0:
                idle.append(Span(since_s, at_s))
            n_runs += change
            since_s = at_s
        if n_runs <= 0:
            idle.append(Span(since_s, float("inf")))
        idle_by_item[item] = idle
    return idle_by_item


def _accepted_items(history: History) -> Iterator[_AcceptedItem]:
    """Yield the items of the accepted jobs that nobody asked to cancel."""
    listed_at_by_item: dict[str, float] = {}
    for read in history.reads:
        for item, _, _ in read.results:
            listed_at_by_item.setdefault(item, read.at_s)
    for submission in history.submissions:
        if submission.status != 202 or submission.job_id in history.jobs_to_cancel:
            continue
        for item in _item_ids(submission.job_id, submission.n_items):
            listed_at_s = listed_at_by_item.get(item)
            yield _AcceptedItem(item, submission.ended_at_s, listed_at_s)


def _item_ids(job_id: JobId, n_items: int) -> list[str]:
    return [f"{job_id}-{number}" for number in range(n_items)]


@checks.register("owed")
def check_owed(history: History) -> Iterator[str]:
    """Find items that are stuck, and what the hosts said of each."""
    for item, span in find_stuck(history):
        view = history.host_views_by_item.get(item, "no host was asked")
        yield (
            f"{item}: neither listed nor at a runner from {span.since_s:.1f} s to "
            f"{span.until_s:.1f} s, with room ({view})"
        )


@checks.register("jobs end")
def check_ends(history: History) -> Iterator[str]:
    """Find items listed later than ``FINISH_S`` after the last fault, or never."""
    if not history.rooms:
        return
    last_fault_s = max((fault.until_s for fault in history.fault_spans), default=0.0)
    now_s = history.rooms[-1].at_s
    for item, accepted_at_s, listed_at_s in _accepted_items(history):
        due_s = max(accepted_at_s, last_fault_s) + FINISH_S + READ_SLACK_S
        at_s = now_s if listed_at_s is None else listed_at_s
        if at_s > due_s:
            state = "not listed" if listed_at_s is None else "listed"
            yield f"{item}: {state} {at_s - due_s:.1f} s after it was due"
