"""Steps of the features on rate limits that runners name."""

from __future__ import annotations

import heapq
import math
import random

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from damaskjunction.core import WorkClass
from damaskjunction.routing import (
    NO_LIMIT_PER_S,
    GrantSlot,
    LimitObservations,
    RefuseSlot,
    RunnerLimit,
    RunnerSupply,
    SlotPool,
    SlotTicket,
    WaitForecast,
)

STEP_S = 0.02
WINDOW_S = 4.0
N_RUN_SECONDS = 24
CONTACT_S = 3.0
N_SLOTS = 8


def make_online_ticket(request_id, now_s):
    due_s = now_s + 2.0
    return SlotTicket(request_id, WorkClass.ONLINE, (), (), due_s, due_s, now_s + 0.8)


def most_in_window(times_s, since_s=-math.inf):
    """Return the most times in any window of WINDOW_S that begins after ``since_s``."""
    starts_s = [at_s for at_s in times_s if at_s >= since_s]
    return max(
        (sum(s <= t < s + WINDOW_S for t in times_s) for s in starts_s), default=0
    )


@when('runner "{runner}" named a limit of {limit:g} a second {age_s:g} s ago')
def name_limit(context, runner, limit, age_s):
    context.pool.observe_limits([RunnerLimit(runner, limit, age_s)], context.now_s)


@when('runner "{runner}" named no limit {age_s:g} s ago')
def name_no_limit(context, runner, age_s):
    limit = RunnerLimit(runner, NO_LIMIT_PER_S, age_s)
    context.pool.observe_limits([limit], context.now_s)


@when("the pool waits for {duration_s:g} s")
def pass_time(context, duration_s):
    context.now_s += duration_s
    context.slot_effects += context.pool.expire(context.now_s)


@when('new requests keep the slot of "{runner}" busy for {seconds:g} s')
def keep_busy(context, runner, seconds):
    held_id = "r0"
    for number in range(1, round(seconds / 0.1)):
        context.now_s += 0.1
        next_id = f"r{number}"
        ticket = make_online_ticket(next_id, context.now_s)
        context.slot_effects += context.pool.submit(ticket, context.now_s)
        context.slot_effects += context.pool.release(held_id, context.now_s)
        context.slot_effects += context.pool.expire(context.now_s)
        assert GrantSlot(next_id, runner) in context.slot_effects
        held_id = next_id


@then('online request "{request_id}" got runner "{runner}"')
@then('batch request "{request_id}" got runner "{runner}"')
def check_granted_runner(context, request_id, runner):
    granted = [e for e in context.slot_effects if isinstance(e, GrantSlot)]
    assert GrantSlot(request_id, runner) in granted, context.slot_effects


@then('"{ids}" are not granted')
def check_not_granted(context, ids):
    granted = {e.request_id for e in context.slot_effects if isinstance(e, GrantSlot)}
    assert not granted & set(ids.split(",")), granted


@when(
    "{rate:d} requests a second that each last {hold_s:g} s ask for slots for "
    "{seconds:d} s"
)
def submit_at_rate(context, rate, hold_s, seconds):
    context.times_by_runner = {}
    context.n_refused = 0
    context.waits_s = []
    releases = []
    submitted_at_by_id = {}
    for step in range(round(seconds / STEP_S)):
        context.now_s += STEP_S
        effects = context.pool.expire(context.now_s)
        while releases and releases[0][0] <= context.now_s:
            effects += context.pool.release(heapq.heappop(releases)[1], context.now_s)
        if int((step + 1) * STEP_S * rate) > int(step * STEP_S * rate):
            request_id = f"r{step}"
            submitted_at_by_id[request_id] = context.now_s
            ticket = make_online_ticket(request_id, context.now_s)
            effects += context.pool.submit(ticket, context.now_s)
        for effect in effects:
            waited_s = context.now_s - submitted_at_by_id[effect.request_id]
            context.waits_s.append(waited_s)
            if isinstance(effect, GrantSlot):
                times_s = context.times_by_runner.setdefault(effect.runner_id, [])
                times_s.append(context.now_s)
                heapq.heappush(releases, (context.now_s + hold_s, effect.request_id))
            context.n_refused += isinstance(effect, RefuseSlot)


@then(
    'runner "{runner}" got between {least:d} and {most:d} requests in {seconds:d} s '
    "and at most {window_most:d} in any 4 s"
)
def check_requests(context, runner, least, most, **bounds):
    times_s = context.times_by_runner[runner]
    assert least <= len(times_s) <= most, len(times_s)
    assert most_in_window(times_s) <= bounds["window_most"], most_in_window(times_s)


@then("no request was refused")
def check_none_refused(context):
    assert not context.n_refused, context.n_refused


@then("all requests were granted or refused within {limit_s:g} s")
def check_waits(context, limit_s):
    n_late = sum(waited_s > limit_s + STEP_S for waited_s in context.waits_s)
    assert not n_late, sorted(context.waits_s)[-30:]


@then(
    "the forecast of waits for tokens is exact to {precision_ms:g} ms for random limits"
)
def check_forecast(context, precision_ms):
    tokens_and_limits = st.tuples(st.floats(0.0, 3.0), st.floats(0.25, 20.0))

    @settings(derandomize=True, database=None, deadline=None)
    @for_all(st.lists(tokens_and_limits, min_size=1, max_size=4), st.integers(0, 9))
    def check(runners, place):
        supplies = [RunnerSupply(999, 999, *runner) for runner in runners]
        token_times_s = sorted(
            max(0.0, (number - tokens) / limit_per_s)
            for tokens, limit_per_s in runners
            for number in range(1, place + 2)
        )
        wait_s = WaitForecast(supplies, 0.1).wait_s(place)
        assert abs(wait_s - token_times_s[place]) <= precision_ms / 1000.0

    check()


class LimitSimulation:
    """Hosts that ask a home, which moves, for slots of runners that name limits."""

    def __init__(self, seed: int, n_hosts: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.hosts = [LimitObservations() for _ in range(n_hosts)]
        self.limit_by_runner = {
            "a": self.rng.choice((0.4, 1.0, 2.5)),
            "b": self.rng.choice((3.0, 6.0)),
            "c": NO_LIMIT_PER_S,
        }
        self.times_by_runner = {name: [] for name in self.limit_by_runner}
        self.holds = []
        self.n_requests = 0
        self.move_home()

    def move_home(self) -> None:
        """Let another host, which knows no limits, be the home."""
        self.pool = SlotPool()
        slots_by_runner = dict.fromkeys(self.limit_by_runner, N_SLOTS)
        self.pool.set_runners(slots_by_runner, self.now_s)
        for _, request_id, runner, _ in self.holds:
            ticket = make_online_ticket(request_id, self.now_s)
            self.pool.adopt(ticket, runner, self.now_s)

    def submit(self) -> list:
        """Let a random host ask for a slot, telling what it knows of limits."""
        self.n_requests += 1
        request_id = f"{self.n_requests}:{self.rng.randrange(len(self.hosts))}"
        host = self.hosts[int(request_id.partition(":")[2])]
        limits = host.of_runners(self.limit_by_runner, self.now_s)
        self.pool.observe_limits(limits, self.now_s)
        ticket = make_online_ticket(request_id, self.now_s)
        return self.pool.submit(ticket, self.now_s)

    def apply(self, effects: list) -> None:
        """Send the granted requests; their hosts see the runners' limits."""
        for effect in effects:
            if isinstance(effect, GrantSlot):
                host = int(effect.request_id.partition(":")[2])
                self.times_by_runner[effect.runner_id].append((self.now_s, host))
                end_s = self.now_s + self.rng.uniform(0.2, 0.8)
                hold = (end_s, effect.request_id, effect.runner_id, host)
                heapq.heappush(self.holds, hold)

    def run(self) -> None:
        """Play N_RUN_SECONDS."""
        rate = self.rng.choice((10.0, 30.0, 60.0))
        for step in range(round(N_RUN_SECONDS / STEP_S)):
            self.now_s += STEP_S
            effects = self.pool.expire(self.now_s)
            while self.holds and self.holds[0][0] <= self.now_s:
                _, request_id, runner, host = heapq.heappop(self.holds)
                limit = self.limit_by_runner[runner]
                self.hosts[host].record(runner, limit, self.now_s)
                effects += self.pool.release(request_id, self.now_s)
            if self.rng.random() < rate * STEP_S:
                effects += self.submit()
            self.apply(effects)
            if step and step % round(7.0 / STEP_S) == 0:
                self.move_home()

    def check(self) -> None:
        """Check the runners' limits from CONTACT_S after they first named them."""
        for runner, limit in self.limit_by_runner.items():
            if limit == NO_LIMIT_PER_S:
                continue
            first_seen_s = 100.0 + 1.0
            times_s = [at_s for at_s, _ in self.times_by_runner[runner]]
            most = most_in_window(times_s, first_seen_s + CONTACT_S)
            allowed = 1.5 * limit * WINDOW_S + 5
            assert most <= allowed, (runner, limit, most, allowed)


@then(
    "in {count:d} random runs with {n_hosts:d} hosts no runner gets more than it named"
)
def check_random_limits(context, count, n_hosts):
    for seed in range(count):
        simulation = LimitSimulation(seed, n_hosts)
        simulation.run()
        simulation.check()


@when("the host that told it is gone, and another one is granted slots")
def change_host(context):
    context.observed = LimitObservations()


@when('an answer of "{runner}" to it names no limit, and it asks for "{ids}"')
def answer_without_limit(context, runner, ids):
    if context.pool.is_limited(runner):
        context.observed.await_answer(runner)
    context.observed.record(runner, NO_LIMIT_PER_S, context.now_s)
    limits = context.observed.of_runners([runner], context.now_s)
    context.pool.observe_limits(limits, context.now_s)
    for request_id in ids.split(","):
        ticket = make_online_ticket(request_id, context.now_s)
        context.slot_effects += context.pool.submit(ticket, context.now_s)
