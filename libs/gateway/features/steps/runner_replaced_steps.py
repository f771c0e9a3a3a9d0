"""Steps on the moment at which a silent runner is replaced."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import LoopTimers
from damaskjunction.gateway.requests.runner_watch import RunnerWatch
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError

LIMIT_S = 0.1
FOUND = "another runner"


class WatchedWait:
    """A wait for a runner, and what becomes of it."""

    def __init__(self):
        self.find_after_s = 0.0
        self.n_turns = None
        self.heard_after_s = 0.0
        self.n_searches = 0
        self.released = []
        self.outcome = self.taken = None
        self._found = asyncio.Event()

    async def _search(self):
        await asyncio.sleep(self.find_after_s)
        self._found.set()
        return FOUND

    def _on_silence(self):
        self.n_searches += 1
        return self._search()

    async def _release(self, found):
        self.released.append(found)

    async def _receive(self, watch):
        if self.n_turns is None:
            await asyncio.sleep(self.heard_after_s)
            return "whole"
        await self._found.wait()
        for _ in range(self.n_turns):
            await asyncio.sleep(0)
        watch.expect(LIMIT_S)
        await asyncio.sleep(LIMIT_S / 2)
        return "whole"

    async def play(self, leaves=False):
        watch = RunnerWatch(LoopTimers(), self._on_silence, lambda: None, self._release)
        wait = asyncio.ensure_future(watch.wait_for(self._receive(watch), LIMIT_S))
        try:
            if leaves:
                await self._found.wait()
                wait.cancel()
            self.outcome = await wait
        except asyncio.CancelledError:
            self.outcome = "cancelled"
        except RunnerFailedError as error:
            self.outcome = error.reason
            self.taken = watch.take_standby()
        await watch.close()

    @property
    def n_held(self):
        n_found = int(self._found.is_set())
        return n_found - len(self.released) - (self.taken is not None)


@given("a wait for a runner that is heard after {delay_s:g} s")
def make_wait(context, delay_s):
    context.wait = WatchedWait()
    context.wait.heard_after_s = delay_s
    context.is_played = False


@given("a search that finds another runner after {delay_s:g} s")
def set_search(context, delay_s):
    context.wait.find_after_s = delay_s


@given(
    "a wait for a runner that sends a part {n_turns:d} turns of the loop after another "
    "one is found"
)
def make_late_wait(context, n_turns):
    make_wait(context, 0.0)
    context.wait.n_turns = n_turns


@when("the caller leaves as the runner is found")
def leave(context):
    context.is_played = True
    run(context, context.wait.play(leaves=True))


def played(context):
    if not context.is_played:
        context.is_played = True
        run(context, context.wait.play())
    return context.wait


@then("the wait ends with what it sent")
def check_end(context):
    assert played(context).outcome == "whole", context.wait.outcome


@then("no other runner was looked for")
def check_no_search(context):
    assert not played(context).n_searches, context.wait.n_searches


@then("nothing that was found is held")
def check_released(context):
    wait = played(context)
    assert not wait.n_held, wait.released


@then("the runner is left for the one that was found")
def check_left(context):
    wait = played(context)
    assert (wait.outcome, wait.taken) == ("silent", FOUND), (wait.outcome, wait.taken)
    assert not wait.released, wait.released


@then(
    "the runner is left for the one that was found, or the wait ends and nothing is "
    "held"
)
def check_left_or_ended(context):
    wait = played(context)
    outcomes = (("silent", FOUND), ("whole", None))
    assert (wait.outcome, wait.taken) in outcomes, (wait.outcome, wait.taken)
    assert not wait.n_held, wait.released
