"""Check that hosts, also while they stop as planned, pass on what runners answer."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator

from damaskjunction.lab.soak.checks import checks
from damaskjunction.lab.soak.history import DEADLY_PREFIX, Call, History, Run
from damaskjunction.lab.soak.owed import calm_spans

# Faults in which no request that a runner got may lose its answer.
PLANNED_KINDS = ("configuration changed", "host restarted")
CRASH_S = 1.0  # from a deadly request until its runner is back


@checks.register("answers arrive")
def check_answers(history: History) -> Iterator[str]:
    """Find requests that a sound runner got and whose answer did not arrive whole.

    Only requests in calm or beside planned stops of hosts count, and none during which
    the process of the runners stalled: to the hosts all runners are silent then.
    """
    spans = calm_spans(history, PLANNED_KINDS)
    runs_by_id: dict[str, list[Run]] = defaultdict(list)
    for run in history.runs:
        runs_by_id[run.request_id].append(run)
    deadly_runs = [r for r in history.runs if r.request_id.startswith(DEADLY_PREFIX)]
    for call in history.calls:
        runs = runs_by_id[call.request_id]
        if call.is_complete or call.is_left or not runs:
            continue
        is_checked = any(
            span.since_s <= call.sent_at_s and call.ended_at_s <= span.until_s
            for span in spans
        )
        is_stalled = any(
            stall.since_s <= call.ended_at_s and call.sent_at_s <= stall.until_s
            for stall in history.stalls
        )
        if (
            is_checked
            and not is_stalled
            and not _is_broken_off(call, runs, deadly_runs)
        ):
            wait_s = call.ended_at_s - call.sent_at_s
            yield (
                f"{call.request_id}: ran at {runs[-1].runner}, but {call.host} ended "
                f"the connection after {wait_s:.1f} s with status {call.status}"
            )


def _is_broken_off(call: Call, runs: list[Run], deadly_runs: list[Run]) -> bool:
    """Return whether a deadly request ended one of the call's runners meanwhile."""
    life_ids = {run.life_id for run in runs}
    return call.request_id.startswith(DEADLY_PREFIX) or any(
        deadly.life_id in life_ids
        and call.sent_at_s - CRASH_S <= deadly.at_s <= call.ended_at_s
        for deadly in deadly_runs
    )
