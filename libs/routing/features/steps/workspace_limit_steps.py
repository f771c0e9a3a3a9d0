"""Steps of the feature on the limits of workspaces over all hosts."""

from __future__ import annotations

from itertools import pairwise

import quota_fleet
from behave import given, then, when

from damaskjunction.core import WorkspaceSpec
from damaskjunction.routing import (
    CounterPlace,
    FleetShare,
    PermitAsk,
    PermitReply,
    QuotaBounds,
    RequestCounter,
    quota_of,
)

HOT = ("w0", "w1", "w5", "w20", "w60")
ROLL_STEPS = 20
OWN_HOME = CounterPlace(
    is_home=True, has_next=False, is_settled=True, share=1.0, since_s=0.0
)


class FullBuckets(RequestCounter):
    """Injected fault: a host that takes over grants a whole burst."""

    def _first_tokens(self, workspace, quota, share):
        return quota.burst


class WholeShare(FleetShare):
    """Injected fault: each part of the fleet counts for all of it."""

    def share(self, now_s):
        return 1.0


class HastyHost(FleetShare):
    """Injected fault: a host counts before the others agree that it does."""

    def is_settled(self, now_s):
        return True


class GenerousStandIn(RequestCounter):
    """Injected fault: a host grants all that it is asked in place of another."""

    def _stand_in(self, ask, window_s, max_requests, now_s):
        return PermitReply("")


TYPES_BY_FAULT = {
    "start with a full bucket": (FullBuckets, FleetShare),
    "count for the whole fleet": (RequestCounter, WholeShare),
    "count as soon as they have started": (RequestCounter, HastyHost),
    "grant all in place of a silent home": (GenerousStandIn, FleetShare),
}


@given("a simulated fleet of {n_hosts:d} hosts and 88 workspaces, seeds 0 to {last:d}")
def describe_fleet(context, n_hosts, last):
    context.n_hosts, context.seeds = n_hosts, range(last + 1)
    context.types = (RequestCounter, FleetShare)


@given("its hosts {fault}")
def inject_fault(context, fault):
    context.types = TYPES_BY_FAULT[fault]


def one_by_one(harm):
    """Return the trouble that one host after the other has, every other a home."""

    def trouble(fleet):
        for number in range(6):
            home = fleet.order[fleet.rng.choice(HOT)][0]
            harm(fleet, home if number % 2 else fleet.rng.choice(fleet.names))
            fleet.run(4.0)

    return trouble


def cut_half(fleet):
    fleet.cut(half_of(fleet), 10.0)
    fleet.run(15.0)


def kill_half(fleet):
    for name in half_of(fleet):
        fleet.kill(name, 3.0)
    fleet.run(10.0)


def replace_all(fleet):
    names = fleet.rng.sample(fleet.names, len(fleet.names))
    size = max(1, len(names) // ROLL_STEPS)
    for start in range(0, len(names), size):
        for name in names[start : start + size]:
            fleet.replace(name)
        fleet.run(1.0)


def roll_back_half(fleet):
    for name in half_of(fleet):
        fleet.hosts[name].is_old = True
    fleet.run(10.0)


def mix(fleet):
    harms = (
        fleet.kill,
        fleet.replace,
        lambda name: fleet.freeze(name, fleet.rng.uniform(1.2, 5.0)),
        lambda name: fleet.cut([name], fleet.rng.uniform(1.0, 4.0)),
        lambda name: fleet.cut(half_of(fleet), 3.0),
    )
    for _ in range(8):
        name = fleet.order[fleet.rng.choice(HOT)][0]
        if fleet.is_calm(name):
            fleet.rng.choice(harms)(name)
        fleet.run(fleet.rng.choice((0.5, 1.0, 2.0, 4.0)))


def half_of(fleet):
    return fleet.rng.sample(fleet.names, len(fleet.names) // 2)


TROUBLES = {
    "none": lambda fleet: fleet.run(5.0),
    "killed": one_by_one(lambda fleet, name: fleet.kill(name)),
    "frozen": one_by_one(lambda fleet, name: fleet.freeze(name, 3.0)),
    "cut off": one_by_one(lambda fleet, name: fleet.cut([name], 3.0)),
    "half cut off": cut_half,
    "half killed": kill_half,
    "all replaced": replace_all,
    "half of a former build": roll_back_half,
    "troubled at random": mix,
}


@when('five workspaces send six times their use, and hosts are "{trouble}"')
def run_fleets(context, trouble):
    context.fleets, context.broken = [], []
    for seed in context.seeds:
        fleet = quota_fleet.SimulatedFleet(context.n_hosts, seed, *context.types)
        fleet.factor.update(dict.fromkeys(HOT, 6.0))
        context.fleets.append(fleet)
        try:
            fleet.run(6.0)
            TROUBLES[trouble](fleet)
            fleet.run(5.0)
        except quota_fleet.LimitBrokenError as error:
            context.broken.append(error)


@then("in no window are more requests sent than the limits allow")
def check_bound(context):
    assert not context.broken, context.broken
    for fleet in context.fleets:
        print(fleet.summary())


@then("in some window more requests are sent than the limits allow")
def check_fault_found(context):
    assert context.broken


@then(
    "at least {usual:g} of what the usual workspaces may send is granted, and {hot:g} "
    "of what the hot ones may"
)
def check_granted_share(context, usual, hot):
    for fleet in context.fleets:
        found = [
            fleet.served_share(fleet.use.keys() - set(HOT)),
            fleet.served_share(HOT),
        ]
        assert found[0] >= usual, found
        assert found[1] >= hot, found


@then("a request takes {n_messages:g} messages at most on average")
def check_messages(context, n_messages):
    for fleet in context.fleets:
        found = fleet.counts["messages"] / fleet.counts["asked"]
        assert found <= n_messages, found


def set_limit(context, rate_per_s, burst):
    workspace = WorkspaceSpec("w", requests_per_s=rate_per_s, burst=burst)
    context.quota = quota_of(workspace, QuotaBounds())


def count(context, n_requests, n_uncounted=0):
    ask = PermitAsk("w", n_uncounted=n_uncounted)
    return [
        context.counter.count(ask, context.quota, OWN_HOME, 100.0)
        for _ in range(n_requests)
    ]


@given("a workspace limited to {rate_per_s:g} requests a second and {burst:g} at once")
def limit_workspace(context, rate_per_s, burst):
    context.counter = RequestCounter("h0")
    set_limit(context, rate_per_s, burst)


@when("its limit is set to {rate_per_s:g} requests a second and {burst:g} at once")
def change_limit(context, rate_per_s, burst):
    set_limit(context, rate_per_s, burst)


@when("{n_requests:d} of its requests come at once")
def send_requests(context, n_requests):
    context.replies = count(context, n_requests)


@when("a host asks that has sent {n_uncounted:d} requests without asking")
def send_uncounted(context, n_uncounted):
    count(context, 1, n_uncounted)


@then("{n_granted:d} of them are granted")
def check_granted(context, n_granted):
    found = sum(not reply.reason for reply in context.replies)
    assert found == n_granted, found


@then(
    "the others are told to come back at most {gap_s:g} s apart, within {within_s:g} s"
)
def check_spread(context, gap_s, within_s):
    times = sorted(r.retry_after_s for r in context.replies if r.reason)
    assert times[-1] <= within_s, times
    gaps = [b - a for a, b in pairwise(times)]
    assert max(gaps) <= gap_s, gaps
    assert min(gaps) > 0, gaps


@then("a workspace with 0 requests a second has no quota")
def check_no_quota(context):
    workspace = WorkspaceSpec("w", burst=5.0)
    assert quota_of(workspace, QuotaBounds()) is None
