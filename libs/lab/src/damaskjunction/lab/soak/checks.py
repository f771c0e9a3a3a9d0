"""Checks of a soak's history, one for each guarantee of the fleet."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import TypeAlias

from damaskjunction.core import Registry
from damaskjunction.lab.soak.history import History

Check: TypeAlias = Callable[[History], Iterator[str]]

checks: Registry[Check] = Registry("soak check")

NOT_RUN_STATUSES = (408, 421, 429, 503)
RESUMABLE_ROUTES = ("alert",)
STREAM_ROUTES = ("ask", "alert")
ONCE_ROUTES = ("ask", "order")
END_REACHES_S = 3.0
SERVED_SHARE = 0.9
MIN_JUDGED = 20


@checks.register("whole")
def check_whole(history: History) -> Iterator[str]:
    """Find successful responses that are incomplete or belong to another request."""
    whole = list(range(1, history.n_events + 1))
    for call in history.calls:
        if call.status != 200 or not call.is_whole:
            continue
        if call.route in STREAM_ROUTES:
            if _event_ids(call.body) != whole:
                yield f"{call.request_id}: ended with events {_event_ids(call.body)}"
        elif call.body != call.request_id.encode():
            yield f"{call.request_id}: the response is {call.body!r}"


@checks.register("order")
def check_order(history: History) -> Iterator[str]:
    """Find streams, complete or aborted, that skip or repeat an event."""
    for call in history.calls:
        if call.route in STREAM_ROUTES and call.status == 200:
            ids = _event_ids(call.body)
            if ids != list(range(1, len(ids) + 1)):
                yield f"{call.request_id}: events {ids}"


@checks.register("once")
def check_once(history: History) -> Iterator[str]:
    """Find requests that ran more than once and must not be repeated."""
    counts = Counter(run.request_id for run in history.runs)
    for call in history.calls:
        if call.route in ONCE_ROUTES and counts[call.request_id] > 1:
            yield f"{call.request_id}: ran {counts[call.request_id]} times"


@checks.register("refusals are true")
def check_refusals(history: History) -> Iterator[str]:
    """Find requests and items that were refused as not run, and ran."""
    ran = {run.request_id for run in history.runs}
    for call in history.calls:
        if call.status in NOT_RUN_STATUSES and call.request_id in ran:
            yield f"{call.request_id}: answered {call.status} and ran"
    statuses_by_job = defaultdict(set)
    for submission in history.submissions:
        statuses_by_job[submission.job_id].add(submission.status)
    for job_id, statuses in statuses_by_job.items():
        if statuses <= set(NOT_RUN_STATUSES):
            yield from (
                f"{name}: ran, though its job was refused"
                for name in ran
                if name.startswith(f"{job_id}-")
            )


@checks.register("asked for")
def check_asked(history: History) -> Iterator[str]:
    """Find runs of requests that no caller sent."""
    asked = {call.request_id for call in history.calls}
    jobs = {submission.job_id for submission in history.submissions}
    for run in history.runs:
        is_item = run.request_id.rpartition("-")[0] in jobs
        if run.request_id not in asked and not is_item:
            yield f"{run.request_id}: nobody sent it"


@checks.register("positions stay")
def check_positions(history: History) -> Iterator[str]:
    """Find positions whose result changes, and items at two positions."""
    seen: dict[tuple[str, int], tuple[str, str, str]] = {}
    positions: dict[tuple[str, str], int] = {}
    for read in history.reads:
        for offset, result in enumerate(read.results):
            place = (read.job_id, read.after + offset)
            if seen.setdefault(place, result) != result:
                yield f"{place}: {result} and {seen[place]}"
            known = positions.setdefault((read.job_id, result[0]), place[1])
            if known != place[1]:
                yield f"{read.job_id}: {result[0]} at {known} and {place[1]}"


@checks.register("results are whole")
def check_texts(history: History) -> Iterator[str]:
    """Find completed results with an incomplete text, and other results.

    Items may end in another state only if their job was cancelled.
    """
    text = "\n".join(f"token {n}" for n in range(1, history.n_events + 1))
    ended = {end.job_id for end in history.ends}
    for read in history.reads:
        for item, state, found in read.results:
            if state == "completed" and found != text:
                yield f"{item}: completed with {found!r}"
            if state != "completed" and read.job_id not in ended:
                yield f"{item}: {state}"


@checks.register("accepted is done")
def check_done(history: History) -> Iterator[str]:
    """Find accepted jobs without all results, unless they were cancelled."""
    n_read: Counter[str] = Counter()
    for read in history.reads:
        n_read[read.job_id] = max(n_read[read.job_id], read.after + len(read.results))
    ended = {end.job_id for end in history.ends}
    for submission in history.submissions:
        job_id = submission.job_id
        is_due = submission.status == 202 and job_id not in ended
        if is_due and n_read[job_id] < submission.n_items:
            yield f"{job_id}: {n_read[job_id]} of {submission.n_items} results"


@checks.register("ends are obeyed")
def check_ends(history: History) -> Iterator[str]:
    """Find items that begin to run long after their job was cancelled.

    A cancellation may take ``END_REACHES_S`` to reach all hosts.
    """
    ended_at_by_job = {end.job_id: end.at_s for end in history.ends}
    for run in history.runs:
        ended_at_s = ended_at_by_job.get(run.request_id.rpartition("-")[0])
        if ended_at_s is not None and run.at_s > ended_at_s + END_REACHES_S:
            yield f"{run.request_id}: ran {run.at_s - ended_at_s:.1f} s after cancel"


@checks.register("service returns")
def check_service(history: History) -> Iterator[str]:
    """Check that requests succeed again after the faults have ended."""
    since_s, until_s = history.calm
    judged = [call for call in history.calls if since_s <= call.sent_at_s <= until_s]
    if not until_s:
        return
    if len(judged) < MIN_JUDGED:
        yield f"only {len(judged)} requests in the fault-free period"
        return
    share = sum(call.status == 200 and call.is_whole for call in judged) / len(judged)
    if share < SERVED_SHARE:
        statuses = Counter(call.status for call in judged)
        yield f"{share:.2f} served in the fault-free period: {dict(statuses)}"


def find_broken(history: History) -> list[str]:
    """Return the violations found, each prefixed by its check's name."""
    return [
        f"{name}: {violation}"
        for name in checks
        for violation in checks.get(name)(history)
    ]


def _event_ids(body: bytes) -> list[int]:
    return [
        int(line.removeprefix(b"id: "))
        for line in body.split(b"\n")
        if line.startswith(b"id: ")
    ]
