"""Steps for the paths to runners."""

from __future__ import annotations

import random

from behave import given, then, when

from damaskjunction.core import Address
from damaskjunction.routing import (
    MAX_WITNESSES,
    Reach,
    RunnerPaths,
    RunnerVerdict,
    judge_runner,
    trusted_reach,
)

N_WITNESSES = 2
N_CONTROLS = 3
FAILURES = (Reach.REFUSED, Reach.SILENT)


class RandomFleet:
    """Hosts, some of them cut off from all runners, and runners, some of them ended."""

    def __init__(self, rng, checks_control):
        self._rng = rng
        self._checks_control = checks_control
        n_hosts = rng.choice((rng.randint(2, 9), rng.randint(10, 40)))
        self.hosts = [f"h{i}" for i in range(n_hosts)]
        self.runners = [f"r{i}" for i in range(rng.randint(2, 5))]
        n_ended = rng.choice((0, 0, 1, len(self.runners)))
        self.ended = set(self.runners[:n_ended])
        n_cut = rng.randint(0, len(self.hosts) - 1)
        self.shapes_by_host = {
            host: rng.choice(FAILURES) for host in rng.sample(self.hosts, n_cut)
        }

    def attempt(self, host, runner):
        if host in self.shapes_by_host:
            return self.shapes_by_host[host]
        return Reach.REFUSED if runner in self.ended else Reach.CONNECTED

    def testimony(self, host, runner):
        """What a host tells others of a runner."""
        if not self._checks_control:
            return self.attempt(host, runner)
        others = [other for other in self.runners if other != runner]
        chosen = self._rng.sample(others, min(N_CONTROLS, len(others)))
        controls = [self.attempt(host, other) for other in chosen]
        return trusted_reach(self.attempt(host, runner), controls)

    def verdict(self, host, runner):
        others = [other for other in self.hosts if other != host]
        self._rng.shuffle(others)
        testimonies = [self.testimony(o, runner) for o in others[:N_WITNESSES]]
        direct = self.attempt(host, runner)
        if Reach.CONNECTED not in (direct, *testimonies):
            testimonies = [self.testimony(o, runner) for o in others[:MAX_WITNESSES]]
        return judge_runner(direct, testimonies, len(others))


def random_fleets(context, count):
    checks_control = not getattr(context, "is_control_skipped", False)
    for seed in range(count):
        yield RandomFleet(random.Random(seed), checks_control)


def accusations_of_sound(context, count):
    return [
        (fleet, host, runner)
        for fleet in random_fleets(context, count)
        for host in fleet.hosts
        for runner in fleet.runners
        if runner not in fleet.ended
        and fleet.verdict(host, runner).may_accuse
        and fleet.verdict(host, runner) is not RunnerVerdict.LIVES
    ]


def address_of(name):
    return Address("127.0.0.1", 7000 + int(name[1:]))


def paths_of(context):
    if not hasattr(context, "paths"):
        context.paths, context.now_s = RunnerPaths(), 100.0
    return context.paths


@given("there are no other hosts")
def set_alone(context):
    context.is_alone = True


@when('this host\'s attempt is "{direct}" and those of others are "{others}"')
def judge(context, direct, others):
    reaches = [Reach(name) for name in others.split(",") if name]
    has_others = not getattr(context, "is_alone", False)
    context.verdict = judge_runner(Reach(direct), reaches, 2 if has_others else 0)


@when('this host\'s attempt is "{direct}" and those of others are ""')
def judge_alone(context, direct):
    judge(context, direct, "")


@then('the runner is judged to be "{verdict}"')
def check_verdict(context, verdict):
    assert context.verdict is RunnerVerdict(verdict), context.verdict


@given("the fault that witnesses don't check another runner")
def skip_control(context):
    context.is_control_skipped = True


@then("in {count:d} random fleets no host accuses a sound runner")
def check_no_accusation(context, count):
    assert not accusations_of_sound(context, count)


@then("in {count:d} random fleets some host accuses a sound runner")
def check_some_accusation(context, count):
    assert accusations_of_sound(context, count)


@then(
    "in {count:d} random fleets hosts accuse a runner that ended, unless all of a large"
    " fleet have"
)
def check_ended_accused(context, count):
    n_accused = 0
    for fleet in random_fleets(context, count):
        is_large = len(fleet.hosts) > MAX_WITNESSES + 1
        all_ended = len(fleet.ended) == len(fleet.runners)
        if fleet.shapes_by_host or not fleet.ended or (is_large and all_ended):
            continue
        for host in fleet.hosts:
            for ended in fleet.ended:
                assert fleet.verdict(host, ended) is RunnerVerdict.ENDED
                n_accused += 1
    assert n_accused


@given('the path to "{name}" is found cut')
@when('the path to "{name}" is found cut')
def cut_path(context, name):
    paths_of(context).record_cut(address_of(name), context.now_s)


@when("the paths are {duration_s:g} s older")
def pass_time(context, duration_s):
    paths_of(context)
    context.now_s += duration_s


@when('a direct connection to "{name}" is opened')
def open_directly(context, name):
    assert paths_of(context).record_direct(address_of(name), context.now_s)


@then('the plan for "{name}" is direct, with a relay after {delay_s:g} s')
def check_direct_plan(context, name, delay_s):
    plan = paths_of(context).plan(address_of(name), context.now_s)
    assert plan[:2] == (True, delay_s), plan


@then('the plan for "{name}" is a relay alone')
def check_relay_plan(context, name):
    plan = paths_of(context).plan(address_of(name), context.now_s)
    assert not plan.is_direct, plan


@given('the hosts "{names}"')
def set_hosts(context, names):
    context.hosts = names.split(",")


@when('"{relay}" relays a connection and "{other}" can\'t')
def record_relays(context, relay, other):
    paths = paths_of(context)
    paths.record_relay(relay, Reach.CONNECTED, context.now_s)
    paths.record_relay(other, Reach.UNKNOWN, context.now_s)


def relay_orders(context):
    rng = random.Random(1)
    return [
        paths_of(context).relay_order(context.hosts, rng, context.now_s)
        for _ in range(50)
    ]


@then('"{first}" is asked first and "{last}" last')
def check_order(context, first, last):
    orders = relay_orders(context)
    assert {order[0] for order in orders} == {first}
    assert {order[-1] for order in orders} == {last}


@then('"{first}" is asked first')
def check_first(context, first):
    orders = relay_orders(context)
    assert {order[0] for order in orders} == {first}
    assert len({order[-1] for order in orders}) > 1


@then("{expected:d} of {count:d} slow connections may be hedged")
def check_hedges(context, expected, count):
    n_hedged = sum(paths_of(context).take_hedge() for _ in range(count))
    assert n_hedged == expected, n_hedged


@when("{count:d} direct connections are opened")
def open_many(context, count):
    for _ in range(count):
        paths_of(context).record_direct(address_of("r1"), context.now_s)


@when('a direct connection to "{name}" has proved to last')
def prove_path(context, name):
    paths = paths_of(context)
    paths.record_direct(address_of(name), context.now_s, is_proved=True)


@then('a direct connection to "{name}" is used {when_used}')
def check_probed(context, name, when_used):
    plan = paths_of(context).plan(address_of(name), context.now_s)
    expected = {"at once": False, "once it has proved to last": True}[when_used]
    assert plan.is_direct, plan
    assert plan.is_probed is expected, plan
