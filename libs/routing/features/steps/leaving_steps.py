"""Steps of the features on runners that have said that they leave."""

from __future__ import annotations

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from damaskjunction.core import Address, Runner, ServiceKind
from damaskjunction.routing import LeavingRunners

ADDRESS = Address("127.0.0.1", 1)


def make_runner(name, born_s):
    return Runner(
        name, "r1", "d1", ADDRESS, ServiceKind.PLAIN, born_ms=round(born_s * 1000)
    )


@given("hosts whose clocks differ from those of runners by up to {skew_s:g} s")
def set_skew(context, skew_s):
    context.max_skew_s = skew_s


@given("leaving runners may be used for {drain_s:g} s if all leave")
def make_hosts(context, drain_s):
    context.leaving = LeavingRunners(drain_s, context.max_skew_s)
    context.other_leaving = LeavingRunners(drain_s, context.max_skew_s)


@given('runners "{names}" that started at {born_s:g} s')
def set_runners(context, names, born_s):
    context.runners = {name: make_runner(name, born_s) for name in names.split(",")}
    context.other_runners = dict(context.runners)


@when('runner "{name}" says at {at_s:g} s that it leaves')
def say(context, name, at_s):
    runner = context.runners[name]
    context.leaving.record_answer(runner, round(at_s * 1000), at_s)


@when('the entry of runner "{name}" is gone')
def remove_entry(context, name):
    context.leaving.forget_entry(context.runners[name])


@when('the entry tells that runner "{name}" started at {born_s:g} s')
def set_entry(context, name, born_s):
    context.runners[name] = make_runner(name, born_s)


@when('the entry at another host tells that runner "{name}" started at {born_s:g} s')
def set_other_entry(context, name, born_s):
    context.other_runners[name] = make_runner(name, born_s)


@when("another host is told so at {at_s:g} s")
def tell(context, at_s):
    notices = context.leaving.notices(context.runners.values(), at_s)
    assert notices
    context.other_leaving.record_notices(notices, context.other_runners, at_s)


def usable(leaving, runners, at_s):
    found = leaving.usable(list(runners.values()), at_s)
    return ",".join(runner.runner_id for runner in found)


@then('at {at_s:g} s "{names}" may be used')
def check_usable(context, at_s, names):
    found = usable(context.leaving, context.runners, at_s)
    assert found == names, found


@then("at {at_s:g} s none may be used")
def check_none_usable(context, at_s):
    check_usable(context, at_s, "")


@then('at {at_s:g} s "{names}" may be used there')
def check_usable_there(context, at_s, names):
    found = usable(context.other_leaving, context.other_runners, at_s)
    assert found == names, found


@then("at {at_s:g} s none may be used there")
def check_none_usable_there(context, at_s):
    check_usable_there(context, at_s, "")


class History:
    """One runner id: its processes, its entry, which comes late, and two hosts.

    Clocks of the hosts are wrong by ``skew_s``.
    """

    def __init__(self, max_skew_s, skew_s):
        self.hosts = [LeavingRunners(2.0, max_skew_s) for _ in range(2)]
        self.skew_s = skew_s
        self.max_skew_s = max_skew_s
        self.now_s = 1000.0
        self.process = make_runner("a", self.now_s)
        self.entries = [self.process, self.process]
        self.is_leaving = False
        self.said = [set(), set()]  # starts of processes that said so for certain
        self.sayers = set()

    def restart(self, host):
        self.process = make_runner("a", self.now_s)
        self.is_leaving = False

    def leave(self, host):
        self.is_leaving = True

    def read_entry(self, host):
        self.entries[host] = self.process

    def ask(self, host):
        if not self.is_leaving:
            return
        asked_at_ms = round((self.now_s + self.skew_s) * 1000)
        self.hosts[host].record_answer(self.entries[host], asked_at_ms, self.now_s)
        self.sayers.add(self.process.born_ms)
        age_s = self.now_s - self.process.born_ms / 1000
        if self.entries[host] == self.process or age_s > 2 * self.max_skew_s:
            self.said[host].add(self.process.born_ms)

    def tell(self, host):
        runners = {"a": self.entries[host]}
        other = 1 - host
        notices = self.hosts[host].notices(runners.values(), self.now_s)
        known = {"a": self.entries[other]}
        self.hosts[other].record_notices(notices, known, self.now_s)
        if notices and self.entries[host] == self.entries[other]:
            self.said[other].add(self.entries[host].born_ms)

    def check(self):
        for host, leaving in enumerate(self.hosts):
            entry = self.entries[host]
            if entry.born_ms in self.said[host]:
                assert leaving.is_leaving(entry), "used though it said so"
            if not any(born_ms >= entry.born_ms for born_ms in self.sayers):
                assert not leaving.is_leaving(entry), "not used though it stays"


@then("in random histories no process that said so is used, and each other one is")
def check_histories(context):
    step = st.tuples(
        st.sampled_from(["restart", "leave", "read_entry", "ask", "tell"]),
        st.integers(0, 1),
        st.floats(0.1, 9.0),
    )
    skews = st.floats(-context.max_skew_s + 0.1, context.max_skew_s - 0.1)

    @settings(derandomize=True, database=None, deadline=None, max_examples=400)
    @for_all(st.lists(step, max_size=25), skews)
    def check(steps, skew_s):
        history = History(context.max_skew_s, skew_s)
        for name, host, duration_s in steps:
            history.now_s += duration_s
            getattr(history, name)(host)
            history.check()

    check()
