"""Steps on the takeover of jobs whose host is missing."""

from __future__ import annotations

import random

from behave import given, then, when

from damaskjunction.batch import TakeoverWatch

TICK_S = 0.5
JOB = "j1"


class World:
    """Hosts that watch one job, each with its own view of who is missing."""

    def __init__(self, names, owner):
        self.names = names
        self.owner = owner
        self.now_s = 0.0
        self.watches = {name: TakeoverWatch(name) for name in names}
        self.takers = []

    def tick(self, missing_by_host, is_able=lambda name: True):
        """Let each host check the job once, in an order of its own."""
        self.now_s += TICK_S
        for name in self.names:
            missing = missing_by_host.get(name, set())
            watch = self.watches[name]
            if self.owner == name or self.owner not in missing:
                watch.observe_present(JOB)
                continue
            candidates = [other for other in self.names if other not in missing]
            if watch.is_due(JOB, candidates, self.now_s) and is_able(name):
                self.takers.append(name)
                self.owner = name


@given('the candidates "{names}" for a job of host "{owner}"')
def make_world(context, names, owner):
    context.world = World(names.split(","), owner)


@when('host "{owner}" is missing for {duration_s:g} s in every view')
def pass_missing(context, owner, duration_s):
    pass_missing_but(context, owner, duration_s, "")


@when(
    'host "{owner}" is missing for {duration_s:g} s in every view but that of "{other}"'
)
def pass_missing_but(context, owner, duration_s, other):
    world = context.world
    missing = {name: {owner} for name in world.names if name != other}
    for _ in range(1 + int(duration_s / TICK_S)):
        world.tick(missing)


@when('host "{owner}" is back')
def pass_present(context, owner):
    context.world.tick({})


@then('"{name}" takes the job over')
def check_taker(context, name):
    assert context.world.takers == [name], context.world.takers


@then('"{names}" do not both rest')
def check_some_taker(context, names):
    assert set(context.world.takers) & set(names.split(",")), context.world.takers


@then("nobody takes the job over")
def check_no_taker(context):
    assert not context.world.takers, context.world.takers


def run_randomly(rng):
    """Return how long a job was owed by no live host after the last change, in s."""
    names = [f"h{number}" for number in range(rng.randint(2, 5))]
    world = World(names, "x")
    for _ in range(rng.randint(0, 20)):
        views = {n: {h for h in [*names, "x"] if rng.random() < 0.4} for n in names}
        world.tick(views, lambda name: rng.random() < 0.5)
    dead = set(rng.sample(names, rng.randint(0, len(names) - 1))) | {"x"}
    # One live host goes on to see every host alive, and so never takes over.
    blind = rng.choice([name for name in names if name not in dead])
    is_alone = len(names) - len(dead - {"x"}) == 1
    views = {n: dead - {n} for n in names if n not in dead}
    if not is_alone:
        views[blind] = set()
    start_s = world.now_s
    while world.owner in dead and world.now_s < start_s + 60:
        alive = set(views)
        world.tick(views, lambda name, alive=alive: name in alive)
    return world.now_s - start_s


@then(
    "in {count:d} random runs a job is owed by a live host within {limit_s:g} s of the "
    "last change"
)
def check_random_runs(context, count, limit_s):
    for seed in range(count):
        waited_s = run_randomly(random.Random(seed))
        assert waited_s <= limit_s, (seed, waited_s)
