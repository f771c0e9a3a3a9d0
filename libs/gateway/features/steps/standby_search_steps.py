"""Steps on the search for a standby of a silent runner."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import LoopTimers, Outcome, RequestError
from damaskjunction.gateway.requests.runner_selector import Assignment
from damaskjunction.gateway.requests.standby_search import StandbySearch
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError


class FakeHome:
    """Grants runners in turn, or the first that is not avoided."""

    def __init__(self, names, *, keeps_to_avoided):
        self._names = names
        self._keeps_to_avoided = keeps_to_avoided
        self.held = []

    async def assign(self, routed, excluded, version, **options):
        names = self._names
        if self._keeps_to_avoided:
            names = [name for name in names if name not in excluded]
        if not names:
            raise RequestError(Outcome.NOT_RUN, "runners_failed")
        name = names[0] if self._keeps_to_avoided else names.pop(0)
        self.held.append(name)
        return Assignment(SimpleNamespace(runner_id=name), None)

    async def release(self, assignment):
        self.held.remove(assignment.runner.runner_id)


class FakeClient:
    """Connects to runners, but for some."""

    def __init__(self, dead):
        self._dead = dead

    async def prepare(self, runner, *, is_process_checked):
        if runner.runner_id in self._dead:
            raise RunnerFailedError(Outcome.NOT_RUN, "process_unknown")


@given('a search beside the silent runner "{silent}"')
def make_search(context, silent):
    context.silent, context.failed_before, context.dead = silent, set(), set()


@given('a search beside the silent runner "{silent}", after "{failed}" has failed')
def make_later_search(context, silent, failed):
    make_search(context, silent)
    context.failed_before = {failed}


@given('"{name}" does not answer')
def let_die(context, name):
    context.dead.add(name)


@when('the home grants "{names}"')
def grant(context, names):
    play(context, FakeHome(names.split(","), keeps_to_avoided=False))


@when('the home grants only what is not avoided, of "{names}"')
def grant_others(context, names):
    play(context, FakeHome(names.split(","), keeps_to_avoided=True))


def play(context, home):
    context.home = home
    timers = LoopTimers()
    search = StandbySearch(
        FakeClient(context.dead),
        home,
        SimpleNamespace(request=SimpleNamespace(request_id="q1")),
        SimpleNamespace(required=""),
        lambda runner: None,
        timers=timers,
        is_process_checked=True,
    )

    async def work():
        began_at_s = timers.now()
        async with asyncio.timeout(5.0):
            found = await search.find(context.silent, context.failed_before)
        context.found = found.runner.runner_id
        context.took_s = timers.now() - began_at_s

    run(context, work())


@then('"{name}" is found after {least_s:g} s or more')
def check_found_later(context, name, least_s):
    assert context.found == name, context.found
    assert context.took_s >= least_s, context.took_s


@then('"{name}" is found within {limit_s:g} s')
def check_found_at_once(context, name, limit_s):
    assert context.found == name, context.found
    assert context.took_s <= limit_s, context.took_s


@then('only the slot of "{name}" is held')
def check_held(context, name):
    assert context.home.held == [name], context.home.held
