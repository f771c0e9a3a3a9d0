"""Checks of a soak's history, one for each guarantee of the fleet."""

from __future__ import annotations

import signal
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from typing import TypeAlias

from damaskjunction.core import Registry
from damaskjunction.core.units import MIB
from damaskjunction.lab.soak.history import (
    DEADLY_PREFIX,
    NOT_RUN_STATUSES,
    History,
    read_text,
)

Check: TypeAlias = Callable[[History], Iterator[str]]

checks: Registry[Check] = Registry("soak check")

FIRST_FAILURE = 500  # status
MAX_FAILURES = 3  # of an item, as in the rig's configuration
RESUMABLE_ROUTES = ("alert",)
STREAM_ROUTES = ("ask", "alert")
ONCE_ROUTES = ("ask", "order")
CANCEL_PROPAGATION_S = 3.0
MIN_SERVED_FRACTION = 0.9
MIN_CHECKED_CALLS = 20
# After so many crashes by one part of prompts, no more than so many requests may run.
MAX_CRASHES = 5
MAX_DEADLY_RUNS = 3
# A runner with a rate limit gets no more than this in any window.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
START_S = 3.0  # of a host
MAX_HOST_BYTES = 128 * MIB


@checks.register("whole")
def check_responses(history: History) -> Iterator[str]:
    """Find successful responses that ended normally, but with wrong content.

    A stream must have all events, and a plain body must be the request's own id.
    """
    for call in history.calls:
        if call.status != 200 or not call.is_complete:
            continue
        if call.route in STREAM_ROUTES:
            ids = list(range(call.last_event_id + 1, history.n_events + 1))
            if _event_ids(call.body) != ids:
                yield f"{call.request_id}: ended with events {_event_ids(call.body)}"
        elif call.body != call.request_id.encode():
            yield f"{call.request_id}: the response is {call.body!r}"


@checks.register("order")
def check_order(history: History) -> Iterator[str]:
    """Find streams, complete or aborted, that skip or repeat an event."""
    for call in history.calls:
        if call.route in STREAM_ROUTES and call.status == 200:
            ids = _event_ids(call.body)
            first_id = call.last_event_id + 1
            if ids != list(range(first_id, first_id + len(ids))):
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
            yield f"{call.request_id}: refused with {call.status}, but ran"
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
def check_requested(history: History) -> Iterator[str]:
    """Find runs of requests that no caller sent."""
    sent = {call.request_id for call in history.calls}
    jobs = {submission.job_id for submission in history.submissions}
    for run in history.runs:
        is_item = run.request_id.rpartition("-")[0] in jobs
        if run.request_id not in sent and not is_item:
            yield f"{run.request_id}: no caller sent it"


@checks.register("positions stay")
def check_positions(history: History) -> Iterator[str]:
    """Find positions whose result changes, and items at two positions."""
    known_results: dict[tuple[str, int], tuple[str, str, str]] = {}
    position_by_item: dict[tuple[str, str], int] = {}
    for read in history.reads:
        for offset, result in enumerate(read.results):
            location = (read.job_id, read.after + offset)
            if known_results.setdefault(location, result) != result:
                yield f"{location}: {result} and {known_results[location]}"
            previous = position_by_item.setdefault(
                (read.job_id, result[0]), location[1]
            )
            if previous != location[1]:
                yield f"{read.job_id}: {result[0]} at {previous} and {location[1]}"


@checks.register("results are whole")
def check_results(history: History) -> Iterator[str]:
    """Find completed results without their full own text, and those in other states.

    Other states are allowed only if the job was cancelled, or if runners answered the
    item ``MAX_FAILURES`` times with a failure.
    """
    numbers = list(range(1, history.n_events + 1))
    cancelled = {cancellation.job_id for cancellation in history.cancellations}
    n_failures = Counter(
        end.request_id for end in history.run_ends if end.status >= FIRST_FAILURE
    )
    for read in history.reads:
        for item, state, found in read.results:
            events = [read_text(line) for line in found.split("\n")]
            own = [e.number for e in events if e is not None and e.stream == item]
            is_whole = own == numbers and len(events) == len(numbers)
            if state == "completed" and not is_whole:
                yield f"{item}: completed with {found!r}"
            is_failed = n_failures[item] >= MAX_FAILURES
            if state != "completed" and read.job_id not in cancelled and not is_failed:
                yield f"{item}: {state}"


@checks.register("accepted is done")
def check_accepted_jobs(history: History) -> Iterator[str]:
    """Find accepted jobs without all results, unless they were cancelled."""
    n_read: Counter[str] = Counter()
    for read in history.reads:
        n_read[read.job_id] = max(n_read[read.job_id], read.after + len(read.results))
    cancelled = {cancellation.job_id for cancellation in history.cancellations}
    for submission in history.submissions:
        job_id = submission.job_id
        is_due = submission.status == 202 and job_id not in cancelled
        if is_due and n_read[job_id] < submission.n_items:
            yield f"{job_id}: {n_read[job_id]} of {submission.n_items} results"


@checks.register("ends are obeyed")
def check_cancellations(history: History) -> Iterator[str]:
    """Find items that begin to run long after their job was cancelled.

    A cancellation may take ``CANCEL_PROPAGATION_S`` to reach all hosts.
    """
    cancelled_at_by_job = {
        cancellation.job_id: cancellation.at_s for cancellation in history.cancellations
    }
    for run in history.runs:
        cancel_at_s = cancelled_at_by_job.get(run.request_id.rpartition("-")[0])
        if cancel_at_s is not None and run.at_s > cancel_at_s + CANCEL_PROPAGATION_S:
            yield f"{run.request_id}: ran {run.at_s - cancel_at_s:.1f} s after cancel"


@checks.register("crashes are contained")
def check_deadly_runs(history: History) -> Iterator[str]:
    """Find requests that crash runners and still reach them after the faults."""
    since_s, until_s = history.fault_free_period
    runs_at_s = [
        run.at_s for run in history.runs if run.request_id.startswith(DEADLY_PREFIX)
    ]
    n_before = sum(at_s < since_s for at_s in runs_at_s)
    n_after = sum(since_s <= at_s <= until_s for at_s in runs_at_s)
    if n_before >= MAX_CRASHES and n_after > MAX_DEADLY_RUNS:
        yield f"{n_after} deadly requests ran after {n_before} before"


@checks.register("limits are kept")
def check_limits(history: History) -> Iterator[str]:
    """Find runners that got more requests than they had named, after the faults."""
    since_s, until_s = history.fault_free_period
    for limit in history.limits:
        times_s = [
            run.at_s
            for run in history.runs
            if run.runner == limit.runner and since_s <= run.at_s <= until_s
        ]
        allowed = LIMIT_FACTOR * limit.limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for begin_s in times_s:
            n_runs = sum(begin_s <= at_s < begin_s + LIMIT_WINDOW_S for at_s in times_s)
            if n_runs > allowed:
                yield f"{limit.runner}: {n_runs} runs, {allowed:.0f} allowed"
                break


@checks.register("hosts run")
def check_exits(history: History) -> Iterator[str]:
    """Find hosts that ended by themselves, or did not stop well and in time.

    Hosts that do not stop in time are aborted. A host that is just starting does not
    handle signals yet.
    """
    for host_exit in history.exits:
        codes = {0} if signal.SIGTERM in host_exit.signals else set()
        if host_exit.age_s < START_S:
            codes |= {-number for number in host_exit.signals}
        if signal.SIGKILL in host_exit.signals:
            codes.add(-signal.SIGKILL)
        if host_exit.code not in codes:
            names = sorted(number.name for number in host_exit.signals)
            yield (
                f"{host_exit.host}: ended at {host_exit.at_s:.1f} s with code "
                f"{host_exit.code} after the signals {names}"
            )


@checks.register("memory is bounded")
def check_memory(history: History) -> Iterator[str]:
    """Find hosts that used more memory than a host is to use."""
    for peak in history.peaks:
        if peak.n_bytes > MAX_HOST_BYTES:
            yield f"{peak.host}: {peak.n_bytes / MIB:.0f} MiB"


@checks.register("service returns")
def check_recovery(history: History) -> Iterator[str]:
    """Check that requests succeed again after the faults have ended.

    Too few requests in the fault-free period count as a violation. A history without
    a fault-free period is not checked.
    """
    since_s, until_s = history.fault_free_period
    calls = [
        call
        for call in history.calls
        if since_s <= call.sent_at_s <= until_s
        and not call.request_id.startswith(DEADLY_PREFIX)
    ]
    if not until_s:
        return
    if len(calls) < MIN_CHECKED_CALLS:
        yield f"only {len(calls)} requests in the fault-free period"
        return
    n_served = sum(
        call.status == 200 and (call.is_complete or call.is_left) for call in calls
    )
    ratio = n_served / len(calls)
    if ratio < MIN_SERVED_FRACTION:
        statuses = Counter(call.status for call in calls)
        yield (
            f"{ratio:.2f} of the requests served in the fault-free period: "
            f"{dict(statuses)}"
        )


def find_violations(history: History) -> list[str]:
    """Return the violations found, each prefixed by its check's name."""
    return [
        f"{name}: {violation}"
        for name in checks
        for violation in checks.get(name)(history)
    ]


def _event_ids(body: bytes) -> list[int]:
    """Return the ids in a stream, without that of an event that is not whole."""
    whole, _, _ = body.rpartition(b"\n\n")
    fields = [line.partition(b": ")[::2] for line in whole.split(b"\n")]
    return [int(value) for name, value in fields if name == b"id" and value.isdigit()]
