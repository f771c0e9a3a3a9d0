"""Checks that hosts cut off from runners serve, and that they harm no others."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from damaskjunction.core import HostId
from damaskjunction.lab.soak.checks import (
    MIN_CHECKED_CALLS,
    MIN_SERVED_FRACTION,
    checks,
)
from damaskjunction.lab.soak.history import (
    DEADLY_PREFIX,
    Call,
    History,
    HostCut,
)
from damaskjunction.lab.soak.owed import CATCH_UP_S, Span, calm_spans

CUT_KINDS = ("hosts cut off", "host cut off in part")
CONTACT_S = 3.0  # from the begin of a cut until its hosts are to serve again
MIN_RELATIVE_RATE = 2 / 3  # served at cut hosts, as a fraction of the others' rate
MAX_FAILED, MAX_FAILED_FRACTION = 10, 1 / 50
CRASH_REFUSAL = b"crashes_runners"
CRASH_REPORT_S = 31.0  # from the end of a runner until its home may have heard of it


class Tries(NamedTuple):
    """First tries of requests, in order of time."""

    calls: Sequence[Call]

    @property
    def n_served(self) -> int:
        """Number of those with a whole answer, or one that its caller left."""
        return sum(_is_served(call) for call in self.calls)

    @property
    def n_failed(self) -> int:
        """Number of the others."""
        return len(self.calls) - self.n_served

    @property
    def rate(self) -> float:
        """Fraction of those served, 0 without any."""
        return self.n_served / len(self.calls) if self.calls else 0.0

    def __str__(self) -> str:
        statuses = Counter((call.route, call.status) for call in self.calls)
        return f"{self.n_served} of {len(self.calls)} served, {dict(statuses)}"


def _is_served(call: Call) -> bool:
    return call.status == 200 and (call.is_complete or call.is_left)


def _is_first_try(call: Call) -> bool:
    return not call.resumed_id and not call.request_id.startswith(DEADLY_PREFIX)


def first_tries_in(history: History, span: Span) -> list[Call]:
    """Return the first tries sent in a span, but those that other faults touch."""
    calm = calm_spans(history, CUT_KINDS)
    return [
        call
        for call in history.calls
        if span.since_s <= call.sent_at_s < span.until_s
        and _is_first_try(call)
        and any(
            s.since_s <= call.sent_at_s and call.ended_at_s <= s.until_s for s in calm
        )
        and not any(
            s.since_s <= call.ended_at_s and call.sent_at_s <= s.until_s
            for s in history.stalls
        )
    ]


def _cut_hosts(history: History, span: Span) -> set[HostId]:
    """Return the hosts that are cut off in a span, or were just before it."""
    return {
        host
        for cut in history.cuts
        if cut.since_s <= span.until_s and span.since_s <= cut.until_s + CATCH_UP_S
        for host in cut.hosts
    }


def find_unserved(history: History, cut: HostCut) -> str:
    """Return how hosts that are cut off served too few first tries; empty if not.

    Nothing is found if all other hosts are cut off or have just been.
    """
    span = Span(cut.since_s + CONTACT_S, cut.until_s)
    any_cut = _cut_hosts(history, span)
    calls = first_tries_in(history, span)
    at_cut = Tries([call for call in calls if call.host in cut.hosts])
    others = Tries([call for call in calls if call.host not in any_cut])
    max_failed = MAX_FAILED + MAX_FAILED_FRACTION * len(calls)
    is_worse = at_cut.rate < MIN_RELATIVE_RATE * others.rate
    if not is_worse or at_cut.n_failed <= max_failed:
        return ""
    return (
        f"{sorted(cut.hosts)}, cut off from {cut.since_s:.1f} to {cut.until_s:.1f} s: "
        f"{at_cut}; at the others {others}"
    )


@checks.register("cut hosts serve")
def check_cut_hosts(history: History) -> Iterator[str]:
    """Find hosts that serve too few callers while they reach no or few runners."""
    for cut in history.cuts:
        if found := find_unserved(history, cut):
            yield found


@checks.register("cuts harm no others")
def check_other_hosts(history: History) -> Iterator[str]:
    """Find hosts that serve badly while others, but not they, are cut off."""
    for cut in history.cuts:
        span = Span(cut.since_s, cut.until_s)
        any_cut = _cut_hosts(history, span)
        calls = [c for c in first_tries_in(history, span) if c.host not in any_cut]
        others = Tries(calls)
        if len(calls) >= MIN_CHECKED_CALLS and others.rate < MIN_SERVED_FRACTION:
            yield f"{sorted(cut.hosts)} cut off, but at the others {others}"


@checks.register("sound requests are served")
def check_suspects(history: History) -> Iterator[str]:
    """Find requests refused as crashing runners before any runner has ended."""
    first_end_s = min((end.at_s for end in history.runner_ends), default=float("inf"))
    refused = [
        call
        for call in history.calls
        if CRASH_REFUSAL in call.body and call.ended_at_s < first_end_s
    ]
    if refused:
        first = refused[0]
        yield (
            f"{len(refused)} refused as crashing runners, the first, "
            f"{first.request_id}, by {first.host} at {first.ended_at_s:.1f} s"
        )


@checks.register("crashes are true")
def check_crash_reports(history: History) -> Iterator[str]:
    """Find crashes that hosts recorded of runners that had not ended."""
    for report in history.crash_reports:
        is_true = any(
            end.runner == report.runner
            and 0 <= report.at_s - end.at_s <= CRASH_REPORT_S
            for end in history.runner_ends
        )
        if not is_true:
            yield f"{report.host}: one of {report.runner} at {report.at_s:.1f} s"
