"""Steps of the feature on hosts that are cut off from runners."""

from __future__ import annotations

import asyncio
import json
import random
import tempfile
from itertools import pairwise
from pathlib import Path
from typing import NamedTuple

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.lab.soak import (
    Callers,
    Cut,
    FaultSpan,
    Observer,
    SoakRig,
    Span,
    Tries,
    find_violations,
    first_tries_in,
)
from damaskjunction.standins import Mode

MODES_BY_SHAPE = {
    "hang": Mode.HANGING,
    "are reset": Mode.CLOSED,
    "are reset and new ones are refused": Mode.DOWN,
    "go on and new ones are refused": Mode.REFUSING,
}
ROUTES_BY_KIND = {
    "streams": ("ask", "alert"),
    "idempotent": ("look",),
    "not idempotent": ("order",),
}
CUT_KIND, PAUSE_KIND = "hosts cut off", "runner path broken"
CONTACT_S = 3.0
MEASURED_S = 3.0
MIN_RELATIVE_RATE = 2 / 3
MIN_TRIES = 5
MIN_SERVED_FRACTION = 0.9
MAX_IDLE_S = 2.0  # of a runner at this load
WARM_UP_S = 1.0
RATE_PER_S = 12.0  # of requests to each host
N_ITEMS = 6
SAMPLE_S = 1.0
MIN_SHARE = 0.5  # of a host that was cut off in the bytes of a host
MAX_SAMPLES = 6
PAUSE_S = 1.0
RETURN_S = 3.0
MAX_PAUSED_IDLE_S = 1.0
FINISH_S = 15.0


class PlayedCut(NamedTuple):
    """A cut, when its job had all results, and its hosts' shares of bytes after it."""

    hosts: set[str]
    span: Span
    job_took_s: float
    shares: list[list[float]]


class CutFleet:
    """Host processes of a soak, their callers and all that these observed."""

    def __init__(self):
        self.folder = tempfile.TemporaryDirectory(prefix="damaskjunction-")
        self.path = Path(self.folder.name)
        self.rig = SoakRig(self.path, n_hosts=4, n_engines=3, n_plain=2)
        self.callers = Callers(
            self.rig,
            random.Random(1),
            n_callers=0,
            n_submitters=0,
            rate_per_s=RATE_PER_S,
        )
        self.observer = Observer(self.rig, self.path)
        self.is_closed = False

    async def start(self):
        await self.rig.start()
        self.callers.start()
        self.observer.start()
        await asyncio.sleep(WARM_UP_S)

    async def finish(self):
        """Let the callers end what they do, and read what the hosts logged."""
        if not self.is_closed:
            self.is_closed = True
            await self.callers.stop(FINISH_S)
            await self.observer.close()
            await self.rig.close()

    async def close(self):
        await self.finish()
        self.folder.cleanup()

    def home(self):
        """Return the home of the engines' slots, the last that took them over."""
        taken = []
        for path in self.path.glob("*.log"):
            for line in path.read_text().splitlines():
                if '"home of slots here"' in line and '"llm"' in line:
                    taken.append((json.loads(line)["asctime"], path.stem))
        return max(taken)[1]

    async def run_fault(self, kind, work):
        """Return what a fault returned, and its span, which the history gets too."""
        now, spans = self.rig.timers.now, self.rig.history.fault_spans
        since_s = now()
        spans.append(FaultSpan(kind, since_s, float("inf")))
        result = await work
        spans[-1] = FaultSpan(kind, since_s, now())
        return result, Span(since_s, spans[-1].until_s)


@given("4 hosts in 2 data centres, 3 engines, 2 plain runners and callers")
def start_fleet(context):
    context.platform = CutFleet()
    run(context, context.platform.start())


@when("the home of the engines' slots is cut off, so that connections {shape}")
def cut_home_off(context, shape):
    fleet = context.platform
    context.cuts = [run(context, play_cut(fleet, {fleet.home()}, shape))]


@when("then all hosts of the other data centre, so that connections {shape}")
def cut_data_centre_off(context, shape):
    fleet = context.platform
    rig = fleet.rig
    centre = rig.data_centre(fleet.home())
    hosts = {name for name in rig.host_names if rig.data_centre(name) != centre}
    context.cuts.append(run(context, play_cut(fleet, hosts, shape)))
    run(context, fleet.finish())


async def play_cut(fleet, hosts, shape):
    """Cut hosts off, while a job of one of them runs, until they are back."""
    rig = fleet.rig
    cut = Cut(frozenset(hosts), frozenset(rig.endpoints), MODES_BY_SHAPE[shape])

    async def hold_cut():
        with rig.cut(cut):
            work = fleet.callers.run_job(sorted(hosts), N_ITEMS)
            job = asyncio.ensure_future(work)
            await asyncio.sleep(CONTACT_S + MEASURED_S)
            return job

    job, span = await fleet.run_fault(CUT_KIND, hold_cut())
    shares = await sample_shares(rig, hosts)
    try:
        async with asyncio.timeout(FINISH_S):
            job_took_s = await job - span.since_s
    except TimeoutError:
        job_took_s = float("inf")
    return PlayedCut(hosts, span, job_took_s, shares)


async def sample_shares(rig, hosts):
    """Return the hosts' shares in the bytes of a host, in samples until one is fair."""
    shares = []
    while len(shares) < MAX_SAMPLES and (not shares or min(shares[-1]) < MIN_SHARE):
        before = {name: rig.paths.n_forwarded(name) for name in rig.host_names}
        await asyncio.sleep(SAMPLE_S)
        n_by_host = {
            name: rig.paths.n_forwarded(name) - n for name, n in before.items()
        }
        mean = sum(n_by_host.values()) / len(n_by_host)
        shares.append([round(n_by_host[name] / mean, 2) for name in sorted(hosts)])
    return shares


def tries_at(fleet, span, hosts, routes):
    calls = first_tries_in(fleet.rig.history, span)
    return Tries([c for c in calls if c.host in hosts and c.route in routes])


@then("callers' first tries there are served as those at the other hosts")
def check_tries(context):
    found = [text for cut in context.cuts for text in find_badly_served(context, cut)]
    assert not found, found


def find_badly_served(context, cut):
    fleet = context.platform
    others = set(fleet.rig.host_names) - cut.hosts
    span = Span(cut.span.since_s + CONTACT_S, cut.span.until_s)
    for kind, routes in ROUTES_BY_KIND.items():
        here = tries_at(fleet, span, cut.hosts, routes)
        there = tries_at(fleet, span, others, routes)
        is_measured = min(len(here.calls), len(there.calls)) >= MIN_TRIES
        if not is_measured or here.rate < MIN_RELATIVE_RATE * there.rate:
            yield f"{kind} at {sorted(cut.hosts)}: {here}; at the others {there}"


@then("callers of the other hosts are served and all runners get their requests")
def check_others(context):
    found = [text for cut in context.cuts for text in find_harm(context, cut)]
    assert not found, found


def find_harm(context, cut):
    fleet = context.platform
    history = fleet.rig.history
    others = set(fleet.rig.host_names) - cut.hosts
    routes = [route for group in ROUTES_BY_KIND.values() for route in group]
    tries = tries_at(fleet, cut.span, others, routes)
    if tries.rate < MIN_SERVED_FRACTION:
        yield f"at {sorted(others)}: {tries}"
    ids = {call.request_id for call in history.calls if call.host in others}
    for runner in {run_.runner for run_ in history.runs}:
        times_s = [
            run_.at_s
            for run_ in history.runs
            if run_.runner == runner
            # The home grants the slots of engines for all hosts, and to items.
            and (run_.request_id in ids or runner.startswith("llm"))
        ]
        idle_s = longest_idle_s(times_s, cut.span.since_s, cut.span.until_s)
        if idle_s > MAX_IDLE_S:
            yield f"{runner} got none while {cut.hosts} were cut for {idle_s:.1f} s"


def longest_idle_s(times_s, since_s, until_s):
    """Return the longest time between two of these times, in a span."""
    within_s = [at_s for at_s in times_s if since_s <= at_s <= until_s]
    ends_s = [since_s, *within_s, until_s]
    return max(after - before for before, after in pairwise(ends_s))


@then("no host records a crash and no request is refused as crashing runners")
def check_crashes(context):
    history = context.platform.rig.history
    assert not history.crash_reports, history.crash_reports
    refused = [call for call in history.calls if b"crashes_runners" in call.body]
    assert not refused, f"{len(refused)} refused, such as {refused[0]}"


@then("a job of a host that was cut off had all its results before the end of the cut")
def check_job(context):
    times_s = [
        (cut.job_took_s, cut.span.until_s - cut.span.since_s) for cut in context.cuts
    ]
    assert all(took_s <= limit_s for took_s, limit_s in times_s), times_s


@then("after the cut its hosts reach runners directly")
def check_return(context):
    shares = [cut.shares for cut in context.cuts]
    assert all(min(samples[-1]) >= MIN_SHARE for samples in shares), shares


@then("no guarantee of the fleet was violated")
def check_guarantees(context):
    run(context, context.platform.finish())
    assert not (found := find_violations(context.platform.rig.history)), found


@when("an engine and then a plain runner stand still for 1 s")
def pause_runners(context):
    fleet = context.platform
    rig = fleet.rig
    context.span_by_endpoint = {}

    async def hold_pause(endpoint):
        rig.paths.set_mode(endpoint, Mode.PAUSED)
        await asyncio.sleep(PAUSE_S)
        rig.paths.set_mode(endpoint, Mode.PASS)

    async def pause_and_go_on(endpoint):
        _, span = await fleet.run_fault(PAUSE_KIND, hold_pause(endpoint))
        context.span_by_endpoint[endpoint] = span
        await asyncio.sleep(RETURN_S)

    for endpoint in (rig.endpoints[0], rig.endpoints[-1]):
        run(context, pause_and_go_on(endpoint))
    run(context, fleet.finish())


@then("each gets requests again within 1 s, and goes on to get them")
def check_runs_again(context):
    runs = context.platform.rig.history.runs
    for endpoint, span in context.span_by_endpoint.items():
        times_s = [run_.at_s for run_ in runs if run_.runner == f"{endpoint}-0"]
        idle_s = longest_idle_s(times_s, span.until_s, span.until_s + RETURN_S)
        assert idle_s <= MAX_PAUSED_IDLE_S, f"{endpoint} got none for {idle_s:.1f} s"


@then("callers of all hosts are served")
def check_served(context):
    for span in context.span_by_endpoint.values():
        calls = [
            call
            for call in context.platform.rig.history.calls
            if span.since_s - PAUSE_S <= call.sent_at_s < span.until_s + RETURN_S
        ]
        assert Tries(calls).rate >= MIN_SERVED_FRACTION, str(Tries(calls))
