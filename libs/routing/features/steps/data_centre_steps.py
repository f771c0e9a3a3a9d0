"""Steps of the feature on leaving a data centre and on uneven runners."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from itertools import pairwise
from typing import NamedTuple

from behave import given, register_type, then, when

from damaskjunction.core import Address, EntryHost, Runner, ServiceKind, WorkClass
from damaskjunction.routing import (
    GrantSlot,
    PlainRunners,
    SlotPool,
    SlotTicket,
    hosts_for_caller,
)

PLACES = "xyz"
N_RUNNERS, N_SLOTS = 4, 8  # runners of a data centre, slots of a runner
WORK_S = 0.12
FULL_SLOWDOWN = 0.25
N_MAX_ADDRESSES = 64


def parse_numbers(text):
    return [float(part) for part in text.split(",")]


parse_numbers.pattern = r"[\d., ]+?"
register_type(Numbers=parse_numbers)


class Played(NamedTuple):
    """A request: when and where it came, its runner, and how long it took in all."""

    came_at_s: float
    place: str
    runner: str
    duration_s: float

    @property
    def is_outside(self):
        return not self.runner.startswith(self.place)


class Play:
    """Requests of three data centres, played against the pool of their home."""

    def __init__(self, score="expected_completion", n_runners=N_RUNNERS):
        self.rng = random.Random(7)
        self.pool = SlotPool(runner_score=score)
        self.runners = [f"{p}{n}" for p in PLACES for n in range(1, n_runners + 1)]
        self.time_factors = {}
        self.is_asker_known, self.is_even = True, False
        self.set_places({name: name[0] for name in self.runners})
        self.now_s, self.n_requests = 0.0, 0
        self.ends, self.started, self.waiting, self.played = [], {}, {}, []
        self.n_used = Counter()

    def set_places(self, data_centres):
        slots = dict.fromkeys(self.runners, N_SLOTS)
        self.pool.set_runners(slots, 0.0, data_centres=data_centres)

    def run(self, loads, duration_s):
        until_s = self.now_s + duration_s
        n_slots = len(self.runners) // len(PLACES) * N_SLOTS
        arrivals = []
        for place, load in zip(PLACES, loads, strict=True):
            came_at_s = self.now_s
            while (came_at_s := came_at_s + self.gap_s(load, n_slots)) < until_s:
                arrivals.append((came_at_s, place))
        for came_at_s, place in sorted(arrivals):
            self.end_until(came_at_s)
            self.submit(came_at_s, place)
        self.end_until(until_s)
        self.now_s = until_s

    def gap_s(self, load, n_slots):
        return self.rng.expovariate(load * n_slots / WORK_S)

    def submit(self, now_s, place):
        self.n_requests += 1
        name = f"q{self.n_requests}"
        self.waiting[name] = (now_s, place)
        asker = place if self.is_asker_known else ""
        ticket = SlotTicket(
            name, WorkClass.ONLINE, (), (), now_s + 9, now_s + 9, now_s + 9
        )
        self.apply(self.pool.submit(ticket._replace(data_centre=asker), now_s), now_s)

    def apply(self, effects, now_s):
        for effect in effects:
            if not isinstance(effect, GrantSlot):
                continue
            self.started[effect.request_id] = effect.runner_id
            self.n_used[effect.runner_id] += 1
            occupancy = self.n_used[effect.runner_id] / N_SLOTS
            work_s = WORK_S * self.time_factors.get(effect.runner_id, 1.0)
            if not self.is_even:
                work_s *= self.rng.uniform(0.5, 1.5) * (1 + FULL_SLOWDOWN * occupancy)
            heapq.heappush(self.ends, (now_s + work_s, effect.request_id))

    def end_until(self, until_s):
        while self.ends and self.ends[0][0] <= until_s:
            now_s, name = heapq.heappop(self.ends)
            came_at_s, place = self.waiting.pop(name)
            runner = self.started.pop(name)
            self.n_used[runner] -= 1
            self.played.append(Played(came_at_s, place, runner, now_s - came_at_s))
            self.apply(self.pool.release(name, now_s), now_s)

    def of(self, place, from_s=0.0, until_s=1e9):
        return [
            p
            for p in self.played
            if p.place == place and from_s <= p.came_at_s < until_s
        ]


def share_outside(played):
    return sum(p.is_outside for p in played) / max(1, len(played))


def mean_s(played):
    return sum(p.duration_s for p in played) / len(played)


def the_play(context):
    if "play" not in context:
        context.play, context.runs = Play(), []
    return context.play


def check_within(found, low, high):
    assert low <= found <= high, (low, found, high)


@when('the runners of "{place}" take {factor:g} times as long')
def slow_place(context, place, factor):
    for name in the_play(context).runners:
        if name.startswith(place):
            context.play.time_factors[name] = factor


@when('runner "{name}" takes {factor:g} times as long')
def slow_runner(context, name, factor):
    the_play(context).time_factors[name] = factor


@when("data centres ask for {loads:Numbers} of their slots for {duration_s:g} s")
def run_play(context, loads, duration_s):
    the_play(context).run(loads, duration_s)
    context.runs.append((loads, duration_s))


@when(
    "data centres ask for {loads:Numbers} of even runners' slots for {s:g} s {without}"
)
def run_without(context, loads, s, without):
    context.plays = []
    for score in ("expected_completion", "free_slots"):
        play = Play(score, n_runners=3 if "with 3 runners" in without else N_RUNNERS)
        play.is_even = True
        play.is_asker_known = "of the asking host" not in without
        if "of the runners" in without:
            play.set_places({})
        play.run(loads, s)
        context.plays.append(play)


@then("the runners chosen are those chosen by free slots alone")
def check_same_runners(context):
    new, former = ([p.runner for p in play.played] for play in context.plays)
    n_equal = sum(a == b for a, b in zip(new, former, strict=False))
    assert new == former, (n_equal, len(new))


@then('from {low:g} to {high:g} of the requests of "{place}" leave it')
def check_outside(context, low, high, place):
    check_within(share_outside(context.play.of(place)), low, high)


@then('from {low:g} to {high:g} of the requests of "{place}" leave it after {s:g} s')
def check_outside_after(context, low, high, place, s):
    check_within(share_outside(context.play.of(place, s)), low, high)


@then(
    'from {low:g} to {high:g} of the requests of "x" leave it between {t:g} s'
    " and {u:g} s"
)
def check_outside_between(context, low, high, t, u):
    check_within(share_outside(context.play.of("x", t, u)), low, high)


@then('requests of "{place}" end as late inside as outside, within {share:g} of it')
def check_equally_late(context, place, share):
    played = context.play.of(place, 2.0)
    inside_s = mean_s([p for p in played if not p.is_outside])
    outside_s = mean_s([p for p in played if p.is_outside])
    assert abs(inside_s / outside_s - 1) <= share, (inside_s, outside_s)


@then("its changes within 1 s are at most {most:g}, but at {but_s:d} s")
def check_steady(context, most, but_s):
    shares = [share_outside(context.play.of("x", s, s + 1)) for s in range(1, 12)]
    steps = {
        s + 2: abs(b - a) for s, (a, b) in enumerate(pairwise(shares)) if s + 2 != but_s
    }
    assert max(steps.values()) <= most, (steps, shares)


@then('runner "{name}" gets from {low:g} to {high:g} of the mean of the runners of "x"')
def check_starts(context, name, low, high):
    starts = Counter(p.runner for p in context.play.played if p.came_at_s > 4)
    others = [n for runner, n in starts.items() if runner[0] == "x" and runner != name]
    check_within(starts[name] * len(others) / sum(others), low, high)


@then("requests end no later than by free slots alone")
def check_against_free_slots(context):
    former = Play("free_slots")
    former.time_factors = context.play.time_factors
    for loads, duration_s in context.runs:
        former.run(loads, duration_s)
    new_s, former_s = mean_s(context.play.played), mean_s(former.played)
    assert new_s <= 1.005 * former_s, (new_s, former_s)


# Cached prompts


@given('a pool of "{first}" in "{a}" and "{second}" in "{b}"')
def make_placed_pool(context, first, a, second, b):
    context.place_of = dict.fromkeys(first.split(","), a)
    context.place_of |= dict.fromkeys(second.split(","), b)
    context.pool, context.n_asked = SlotPool(), 0
    slots = dict.fromkeys(context.place_of, N_SLOTS)
    context.pool.set_runners(slots, 0.0, data_centres=context.place_of)


@when('a prompt with parts "{parts}" of a host in "{asker}" gets a slot')
def ask_placed(context, parts, asker):
    context.n_asked += 1
    ticket = SlotTicket(
        f"q{context.n_asked}", WorkClass.ONLINE, tuple(parts.split(",")), (), 9, 9, 9
    )
    (grant,) = context.pool.submit(ticket._replace(data_centre=asker), 0.0)
    context.pool.release(grant.request_id, 0.1)
    context.runner_id = grant.runner_id
    return context.place_of[grant.runner_id]


@when(
    '{n:d} requests of {duration_s:g} s each are given to "{runner}",'
    " and no time is known yet"
)
def give_all(context, n, duration_s, runner):
    for number in range(n):
        due_s = number + 9.0
        ticket = SlotTicket(f"p{number}", WorkClass.ONLINE, (), (), due_s, due_s)
        context.pool.adopt(ticket, runner, 0.1 * number)
        context.pool.release(ticket.request_id, 0.1 * number + duration_s)


@then('a prompt with parts "{parts}" of a host in "{asker}" gets a slot of "{runner}"')
def check_runner(context, parts, asker, runner):
    ask_placed(context, parts, asker)
    assert context.runner_id == runner, context.runner_id


@then('a prompt with parts "{parts}" of a host in "{asker}" gets a slot in "{place}"')
def check_place(context, parts, asker, place):
    found = ask_placed(context, parts, asker)
    assert found == place, found


# Plain runners


def make_runner(name, place, slots=6):
    address = Address("10.0.0.1", 1)
    return Runner(name, "r", place, address, ServiceKind.PLAIN, "s", slots=slots)


@when('"x,y,z" have {hosts:Numbers} hosts and {slots:Numbers} slots of a plain service')
def give_plain_slots(context, hosts, slots):
    context.hosts = dict(zip(PLACES, map(int, hosts), strict=True))
    context.runners = [
        make_runner(p, p, int(n)) for p, n in zip(PLACES, slots, strict=True) if n
    ]


@then('hosts in "{own}" send {shares:Numbers} of their requests to "x,y,z"')
def check_plain_shares(context, own, shares):
    plain, starts, n = PlainRunners(own, random.Random(3)), Counter(), 4000
    for number in range(n):
        runner = plain.begin(context.runners, context.hosts, float(number))
        starts[runner.data_centre] += 1
        plain.end(runner, 0.1, number + 0.1)
    for place, share in zip(PLACES, shares, strict=True):
        check_within(starts[place] / n, share - 0.03, share + 0.03)


@when(
    "a host gives {n:d} requests to plain runners that take {factors:Numbers}"
    " times {work_s:g} s"
)
def play_plain(context, n, factors, work_s):
    runners = [make_runner(f"r{k}", "x") for k in range(len(factors))]
    plain, context.starts, rng = PlainRunners("x", random.Random(3)), Counter(), 0
    rng = random.Random(4)
    for number in range(n):
        now_s = 0.2 * number
        runner = plain.begin(runners, {}, now_s)
        context.starts[runner.runner_id] += 1
        factor = factors[int(runner.runner_id[1:])]
        duration_s = factor * work_s * rng.uniform(0.5, 1.5)
        plain.end(runner, duration_s, now_s + duration_s)


@then("the last of them gets from {low:g} to {high:g} of the requests")
def check_last(context, low, high):
    last = max(context.starts)
    check_within(context.starts[last] / sum(context.starts.values()), low, high)


# Addresses


@when(
    'a caller in "{zone}" asks where to connect and "x,y,z" have {hosts:Numbers} hosts'
)
def ask_addresses(context, zone, hosts):
    address = Address("10.0.0.1", 1)
    listed = [
        EntryHost(f"{place}{n}", "r", place, address, address, address)
        for place, count in zip(PLACES, hosts, strict=True)
        for n in range(int(count))
    ]
    context.told = hosts_for_caller(listed, zone, N_MAX_ADDRESSES)
    shuffled = random.Random(5).sample(listed, len(listed))
    context.told_by_other = hosts_for_caller(shuffled, zone, N_MAX_ADDRESSES)


@then('it is told of {told} hosts of "x,y,z"')
def check_told(context, told):
    counts = Counter(host.data_centre for host in context.told)
    for place, expected in zip(PLACES, told.split(", "), strict=False):
        assert expected in ("any", str(counts[place])), counts
    assert len(context.told) <= N_MAX_ADDRESSES


@then("each host tells it the same")
def check_told_alike(context):
    assert set(context.told) == set(context.told_by_other)
