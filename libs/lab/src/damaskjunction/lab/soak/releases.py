"""Checks of runners of several software versions, and of runners that leave."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from damaskjunction.core import RequestId
from damaskjunction.lab.soak.checks import RESUMABLE_ROUTES, STREAM_ROUTES, checks
from damaskjunction.lab.soak.configuration import ENGINE
from damaskjunction.lab.soak.history import (
    DEADLY_PREFIX,
    Call,
    History,
    read_event,
    read_events,
    read_text,
)
from damaskjunction.lab.soak.owed import Span, calm_spans

CONTACT_S = 3.0  # before a call, in which the runners of its version served
MIN_SERVING = 2
MIN_TAKE_UPS = 12
MIN_SUCCESS_RATIO = 0.5  # of take-ups to new streams
DRAIN_S = 2.0
DRAIN_KINDS = ("runner leaves", "runner drained")  # of faults
FIELD_NAMES = (b"event: ", b"id: ", b"data: ")


@checks.register("one version")
def check_versions(history: History) -> Iterator[str]:
    """Find streams, over all their attempts, and results of two software versions."""
    versions_by_stream: dict[str, set[str]] = defaultdict(set)
    for call in history.calls:
        if call.route in STREAM_ROUTES and call.status == 200:
            versions = {event.version for event in read_events(call.body)}
            versions_by_stream[call.resumed_id or call.request_id] |= versions
    for read in history.reads:
        for item, _, text in read.results:
            events = map(read_text, text.split("\n"))
            versions_by_stream[item] |= {e.version for e in events if e is not None}
    for stream, versions in versions_by_stream.items():
        if len(versions) > 1:
            yield f"{stream}: from versions {sorted(versions)}"


@checks.register("only own events")
def check_own_events(history: History) -> Iterator[str]:
    """Find streams that hold anything but their events, such as the text of an error.

    A stream that broke off may end within an event.
    """
    for call in history.calls:
        if call.route not in STREAM_ROUTES or call.status != 200:
            continue
        stream = call.resumed_id or call.request_id
        *blocks, rest = call.body.split(b"\n\n")
        strange = [block for block in blocks if not _is_own_event(block, stream)]
        if (call.is_complete and rest) or not _may_begin_event(rest):
            strange.append(rest)
        if strange:
            yield f"{call.request_id}: holds {strange[0][:200]!r}"


def _is_own_event(block: bytes, stream: RequestId) -> bool:
    event = read_event(block)
    return event is not None and event.stream == stream


def _may_begin_event(rest: bytes) -> bool:
    """Return whether each line is a field of an event, or the begin of one."""
    return all(
        any(line.startswith(name) or name.startswith(line) for name in FIELD_NAMES)
        for line in rest.split(b"\n")
    )


@checks.register("streams go on")
def check_take_ups(history: History) -> Iterator[str]:
    """Check that streams can be taken up in calm where two runners could go on."""
    spans = calm_spans(history)
    calls = [
        call
        for call in history.calls
        if call.route in RESUMABLE_ROUTES
        and not call.request_id.startswith(DEADLY_PREFIX)
        and any(
            s.since_s <= call.sent_at_s and call.ended_at_s <= s.until_s for s in spans
        )
    ]
    first_calls = {call.request_id: call for call in history.calls}
    take_ups = [
        call
        for call in calls
        if call.resumed_id
        and call.last_event_id < history.n_events
        and _can_go_on(history, first_calls[call.resumed_id], call)
    ]
    new = [call for call in calls if not call.resumed_id]
    if len(take_ups) < MIN_TAKE_UPS or not new:
        return
    share = sum(map(_has_events, take_ups)) / len(take_ups)
    new_share = sum(map(_has_events, new)) / len(new)
    if share < MIN_SUCCESS_RATIO * new_share:
        failed = [call.request_id for call in take_ups if not _has_events(call)]
        yield (
            f"{share:.2f} of {len(take_ups)} take-ups went on, {new_share:.2f} of new "
            f"streams began; failed: {failed[:5]}"
        )


def _has_events(call: Call) -> bool:
    return call.status == 200 and bool(read_events(call.body))


def _can_go_on(history: History, first: Call, call: Call) -> bool:
    """Return whether two runners of the version that began a stream served."""
    versions = {event.version for event in read_events(first.body)}
    needed = Span(call.sent_at_s - CONTACT_S, call.ended_at_s)
    serving = [
        life
        for life in history.lives
        if life.version in versions
        and life.since_s <= needed.since_s
        and life.until_s >= needed.until_s
        and life.leaves_at_s is None
        and life.life_id.startswith(ENGINE)
    ]
    return len(serving) >= MIN_SERVING


@checks.register("drained runners are left")
def check_drained(history: History) -> Iterator[str]:
    """Find requests that reached a runner long after all hosts could know it leaves.

    The hosts know it from its entry. For items it is also enough that one host heard
    it, which tells the others. Checked only where no other fault kept it from them.
    """
    spans = calm_spans(history, DRAIN_KINDS)
    drains_at_by_life = {
        life.life_id: life.drains_at_s
        for life in history.lives
        if life.drains_at_s is not None
    }
    heard_at_by_life = dict(drains_at_by_life)
    for (_, life_id), at_s in _heard_at_by_host(history).items():
        heard_at_by_life[life_id] = min(heard_at_by_life.get(life_id, at_s), at_s)
    sent_at_by_id = {call.request_id: call.sent_at_s for call in history.calls}
    for run in history.runs:
        is_item = run.request_id not in sent_at_by_id
        sent_at_s = sent_at_by_id.get(run.request_id, run.at_s)
        told_at_by_life = heard_at_by_life if is_item else drains_at_by_life
        told_at_s = told_at_by_life.get(run.life_id)
        if told_at_s is None or sent_at_s <= told_at_s + DRAIN_S:
            continue
        if any(s.since_s <= told_at_s and run.at_s <= s.until_s for s in spans):
            yield (
                f"{run.request_id}: sent to {run.life_id} {sent_at_s - told_at_s:.1f} "
                "s after the hosts were told that it leaves"
            )


@checks.register("leaving runners are left")
def check_leaving(history: History) -> Iterator[str]:
    """Find requests that a host sent to a runner long after it heard that it leaves.

    A host that was stopped, frozen or started since then may have missed or forgotten
    that.
    """
    heard_at_s = _heard_at_by_host(history)
    calls_by_id = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls_by_id.get(run.request_id)
        heard_s = heard_at_s.get((call.host, run.life_id)) if call else None
        if call is None or heard_s is None or call.sent_at_s <= heard_s + DRAIN_S:
            continue
        is_excused = any(
            disturbance.host == call.host and heard_s <= disturbance.at_s <= run.at_s
            for disturbance in history.disturbances
        )
        if not is_excused:
            yield (
                f"{run.request_id}: sent {call.sent_at_s - heard_s:.1f} s after "
                f"{call.host} passed on that {run.life_id} leaves"
            )


def _heard_at_by_host(history: History) -> dict[tuple[str, str], float]:
    """Return when each host first passed on that a runner leaves, by host and life."""
    leaves_at_by_life = {life.life_id: life.leaves_at_s for life in history.lives}
    ran_at = {(run.request_id, run.life_id): run.at_s for run in history.runs}
    heard: dict[tuple[str, str], float] = {}
    for call in history.calls:
        leaves_at_s = leaves_at_by_life.get(call.life_id)
        answered_by_s = ran_at.get((call.request_id, call.life_id), call.sent_at_s)
        if leaves_at_s is None or answered_by_s < leaves_at_s:
            continue
        key = (call.host, call.life_id)
        heard[key] = min(heard.get(key, call.answered_at_s), call.answered_at_s)
    return heard
