"""Steps on the watch over silent runners."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import ManualTimers, Outcome
from damaskjunction.gateway.requests.runner_watch import RunnerWatch
from damaskjunction.gateway.requests.silence_timer import SilenceTimer
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError

LIMIT_S = 0.4
STEP_S = 0.01
N_TURNS = 10  # of the event loop, in which all that is ready ends


class CountingTimers(ManualTimers):
    """Counts the timers that are scheduled."""

    def __init__(self):
        super().__init__()
        self.n_scheduled = 0

    def once(self, delay_s, callback):
        """Call back once, and count it."""
        self.n_scheduled += 1
        return super().once(delay_s, callback)


class WatchRig:
    """A watch, a runner and a search, which do what a step tells them."""

    def __init__(self, *, may_leave=True, late_result=None):
        self.timers = ManualTimers()
        self.may_leave = may_leave
        self.late_result = late_result
        self.n_heard = 0
        self.released = []
        self.is_search_cancelled = False
        self.was_work_cancelled = False
        self.found = self.sent = self.waiting = None
        self.watch = RunnerWatch(
            self.timers, self.begin_search, self.record_heard, self.release
        )

    async def start(self):
        """Begin to wait for the runner."""
        loop = asyncio.get_running_loop()
        self.found, self.sent = loop.create_future(), loop.create_future()
        self.waiting = asyncio.ensure_future(
            self.watch.wait_for(self.receive(), LIMIT_S)
        )
        await self.settle()

    async def receive(self):
        """Receive what the runner sends."""
        try:
            return await self.sent
        except asyncio.CancelledError:
            self.was_work_cancelled = True
            raise

    def begin_search(self):
        """Return a search, if the runner may be left."""
        return self.search() if self.may_leave else None

    async def search(self):
        """Wait for what is found."""
        try:
            return await self.found
        except asyncio.CancelledError:
            self.is_search_cancelled = True
            if self.late_result is None:
                raise
            return self.late_result

    def record_heard(self):
        """Count that the runner is heard again."""
        self.n_heard += 1

    async def release(self, found):
        """Record what is released."""
        self.released.append(found)

    async def settle(self):
        """Let all end that is ready."""
        for _ in range(N_TURNS):
            await asyncio.sleep(0)

    async def close(self):
        """End the wait and the watch."""
        self.waiting.cancel()
        await asyncio.gather(self.waiting, return_exceptions=True)
        await self.watch.close()


@given("a timer of silences")
def make_timer(context):
    context.timers = CountingTimers()
    context.n_reported = 0

    def report():
        context.n_reported += 1

    context.timer = SilenceTimer(context.timers, report)


@when("waits of {waits} s begin one after another, with a limit of {limit_s:g} s")
def wait_often(context, waits, limit_s):
    for wait_s in waits.split(","):
        context.timer.begin(limit_s)
        context.timers.advance(float(wait_s))


@when(
    "{count:d} waits of {wait_s:g} s begin one after another, with a limit of "
    "{limit_s:g} s"
)
def wait_many(context, count, wait_s, limit_s):
    for _ in range(count):
        context.timer.begin(limit_s)
        context.timers.advance(wait_s)


@when("a wait with a limit of {limit_s:g} s ends after {wait_s:g} s, {rest_s:g} s pass")
def end_wait(context, limit_s, wait_s, rest_s):
    context.timer.begin(limit_s)
    context.timers.advance(wait_s)
    context.timer.end()
    context.timers.advance(rest_s)


@when(
    "a wait with a limit of {limit_s:g} s begins, the timer is closed and "
    "{rest_s:g} s pass"
)
def close_timer(context, limit_s, rest_s):
    context.timer.begin(limit_s)
    context.timer.close()
    context.timers.advance(rest_s)


@then("{count:d} silences are reported")
def check_reports(context, count):
    assert context.n_reported == count, context.n_reported


@then("at most {count:d} timers were scheduled")
def check_timers(context, count):
    assert context.timers.n_scheduled <= count, context.timers.n_scheduled


@given("a watch over a runner, with a search for another one")
def make_watch(context):
    start_rig(context, WatchRig())


@given("a watch over a runner that may not be left")
def make_bound_watch(context):
    start_rig(context, WatchRig(may_leave=False))


@given(
    'a watch over a runner, with a search that ends with "{found}" when it is cancelled'
)
def make_late_watch(context, found):
    start_rig(context, WatchRig(late_result=found))


def start_rig(context, rig):
    context.platform = rig
    run(context, rig.start())


def act(context, *actions):
    """Take actions at the same time, and let all end that follows from them."""

    async def work():
        for action in actions:
            action()
        await context.platform.settle()

    run(context, work())


@when("the runner is silent for {duration_s:g} s")
def pass_silence(context, duration_s):
    act(context, lambda: context.platform.timers.advance(duration_s))


@when('the search finds "{name}"')
def find(context, name):
    act(context, lambda: context.platform.found.set_result(name))


@when("the search fails")
def fail_search(context):
    error = RunnerFailedError(Outcome.NOT_RUN, "none")
    act(context, lambda: context.platform.found.set_exception(error))


@when('the runner sends "{data}"')
def send(context, data):
    act(context, lambda: context.platform.sent.set_result(data))


@when('as the search finds "{name}", the runner sends "{data}"')
def send_as_found(context, data, name):
    rig = context.platform
    act(
        context,
        lambda: rig.found.set_result(name),
        lambda: rig.sent.set_result(data),
    )


@when('the runner fails with "{reason}"')
def fail(context, reason):
    error = RunnerFailedError(Outcome.RAN, reason)
    act(context, lambda: context.platform.sent.set_exception(error))


@when("the request is abandoned and the watch is closed")
def abandon(context):
    run(context, context.platform.close())


@when("the watch is closed")
def close(context):
    run(context, context.platform.watch.close())


@then("the runner keeps the request")
def check_kept(context):
    assert not context.platform.waiting.done()


@then('the runner is left as "{reason}", and what it sends is not waited for any more')
def check_left(context, reason):
    assert context.platform.was_work_cancelled
    check_failed(context, reason)


@then('the runner has failed with "{reason}"')
def check_failed(context, reason):
    error = context.platform.waiting.exception()
    assert isinstance(error, RunnerFailedError), error
    assert error.reason == reason, error


@then('"{data}" is received, and the runner was heard again')
def check_received(context, data):
    assert context.platform.waiting.result() == data
    assert context.platform.n_heard == 1, context.platform.n_heard


@then('the replacement is "{name}", and nothing was released')
def check_replacement(context, name):
    assert context.platform.watch.take_standby() == name
    check_released(context, [])


@then("the search was cancelled, there is no replacement, and nothing was released")
def check_cancelled(context):
    assert context.platform.is_search_cancelled
    check_none(context, [])


@then("there is no replacement, and nothing was released")
def check_nothing(context):
    check_none(context, [])


@then('there is no replacement, and "{name}" was released')
def check_given_back(context, name):
    check_none(context, [name])


def check_none(context, released):
    assert context.platform.watch.take_standby() is None
    check_released(context, released)


def check_released(context, released):
    assert context.platform.released == released, context.platform.released
