"""Steps of standby.feature: an entry whose homes and runners are simulated."""

from __future__ import annotations

import asyncio
import random
from contextlib import aclosing, contextmanager
from types import SimpleNamespace
from typing import NamedTuple

from behave import given, then, when

from damaskjunction.core import (
    LoopTimers,
    Outcome,
    RequestError,
    Runner,
    ServiceKind,
    WorkClass,
)
from damaskjunction.http import HttpClient
from damaskjunction.node.runners.protocols import RunnerStream, read_answer
from damaskjunction.node.runners.silence import SilenceLimits, tell_silence
from damaskjunction.node.serving.caller_request import CallerRequest
from damaskjunction.node.serving.entry import RequestRouter
from damaskjunction.node.serving.request_routes import RequestRoutes
from damaskjunction.node.serving.standby import Standby, wait_for_either
from damaskjunction.routing import Forward, PlainAnswer, RetryBudget, Verdict
from damaskjunction.standins import allocate_addresses

DEADLINE_S = 4.0
WATCH_INTERVAL_S = 0.01


class SimulatedRunner(NamedTuple):
    """How a runner answers; ``error`` is raised in place of an answer."""

    answer_s: float
    silence_s: float
    error: Exception | None = None


class SimulatedHome:
    """Home of all runners; ``sent_to`` are the runners that got a request."""

    def __init__(self, runners_by_id):
        self._runners_by_id = runners_by_id
        self.sent_to = []

    async def run(self, forward):
        runner = self._runners_by_id[forward.runner_id]
        if runner.error is not None:
            await asyncio.sleep(0)
            raise runner.error
        self.sent_to.append(forward.runner_id)
        limits = SilenceLimits(runner.silence_s, runner.silence_s)

        async def answer():
            await asyncio.sleep(runner.answer_s)
            body = forward.runner_id.encode()
            yield PlainAnswer(forward.attempt, 200, "text/plain", body)

        async with aclosing(answer()) as messages:
            told = tell_silence(messages, forward.attempt, limits)
            async with aclosing(told):
                async for message in told:
                    yield message


class Selection:
    """Ranks runners by their ids."""

    def __init__(self, ids):
        self._runners = [SimpleNamespace(runner_id=id_) for id_ in ids]
        self.loads = SimpleNamespace(
            begin_request=lambda _: None, end_request=lambda _: None
        )

    def rank_runners(self, *_):
        return self._runners

    def admitting_host(self, *_):
        return SimpleNamespace(host_id="own")


class Demand:
    """Counts nothing."""

    @contextmanager
    def track(self, *_):
        yield


def runners_of(context):
    if not hasattr(context, "runners_by_id"):
        context.runners_by_id = {}
        context.fill_after_s = context.suspect_s = None
    return context.runners_by_id


@given(
    'the runner "{name}" answers after {answer_s:f} s and counts as silent after '
    "{silence_s:f} s"
)
def add_runner(context, name, answer_s, silence_s):
    runners_of(context)[name] = SimulatedRunner(answer_s, silence_s)


@given('the runner "{name}" refuses all')
def add_refusing_runner(context, name):
    refusal = RequestError(Outcome.NOT_RUN, "runner_unreachable")
    runners_of(context)[name] = SimulatedRunner(0.0, 0.1, refusal)


@given('the runner "{name}" fails with an unexpected error')
def add_odd_runner(context, name):
    runners_of(context)[name] = SimulatedRunner(0.0, 0.1, ValueError("odd"))


@given("an empty retry budget that is filled after {fill_after_s:f} s")
def empty_budget(context, fill_after_s):
    context.fill_after_s = fill_after_s


@given("the request is suspected of crashes from {since_s:f} s until {until_s:f} s")
def suspect(context, since_s, until_s):
    context.suspect_s = (since_s, until_s)


def make_request(number):
    request = CallerRequest(
        request_id=f"r{number}",
        service="api",
        workspace="",
        work_class=WorkClass.ONLINE,
        deadline_s=DEADLINE_S,
        idempotent=True,
        path="/",
        content_type="",
        body=b"",
    )
    return request


async def run_requests(context, n_requests):
    timers = LoopTimers()
    selection = Selection(sorted(context.runners_by_id))
    view = SimpleNamespace(serving_hosts=lambda: [], own=SimpleNamespace(host_id="own"))
    began_at_s = timers.now()

    def verdict(_):
        if context.suspect_s is None:
            return None
        since_s, until_s = context.suspect_s
        is_suspect = since_s <= timers.now() - began_at_s < until_s
        return Verdict.SUSPECT if is_suspect else None

    home = SimulatedHome(context.runners_by_id)
    router = RequestRouter(
        home,
        None,
        RequestRoutes(view, selection, timers),
        selection,
        crashes=SimpleNamespace(check=verdict),
        timers=timers,
        rng=random.Random(1),
        metrics=SimpleNamespace(count=lambda *_, **__: None),
        demand=Demand(),
    )
    balances = []

    async def watch_budget():
        while True:
            balances.append(router.to_document()["retry_balance"])
            await asyncio.sleep(WATCH_INTERVAL_S)

    if context.fill_after_s is not None:
        spend_budget(router, timers, context.fill_after_s)
    watcher = asyncio.ensure_future(watch_budget())
    try:
        context.answers = await asyncio.gather(
            *(read_one(router, number) for number in range(n_requests))
        )
    finally:
        watcher.cancel()
    context.sent_to, context.balances = home.sent_to, balances


def spend_budget(router, timers, fill_after_s):
    """Empty a router's budget, with what the request brings; fill it later."""
    budget = router._retry_budget
    budget.balance = -budget.share

    def fill():
        for _ in range(400):
            budget.add_request()

    timers.once(fill_after_s, fill)


async def read_one(router, number):
    parts = [part async for part in router.run(make_request(number))]
    return b"".join(part.body for part in parts).decode()


@when("a request is sent")
def send_request(context):
    context.asyncio_runner.run(run_requests(context, 1))


@when("{n_requests:d} requests are sent")
def send_requests(context, n_requests):
    context.asyncio_runner.run(run_requests(context, n_requests))


@then('its answer is of "{name}"')
@then('each answer is of "{name}"')
def check_answers(context, name):
    assert set(context.answers) == {name}, context.answers


@then('the runners that got it are "{name}"')
def check_sent_to(context, name):
    assert context.sent_to == [name], context.sent_to


@then("at least a fifth of the retry budget was left at any time")
def check_balances(context):
    fifth = RetryBudget().max_balance / 5
    assert min(context.balances) >= fifth, min(context.balances)


@when("a caller leaves while the silent attempt is closed for its standby")
def leave_in_takeover(context):
    context.is_closed = False

    async def standby_messages():
        try:
            yield 1
            yield 2
        finally:
            context.is_closed = True

    async def hear():
        try:
            await asyncio.sleep(DEADLINE_S)
        finally:
            await asyncio.sleep(0.1)  # until the silent attempt is closed

    async def search():
        messages = standby_messages()
        return Standby(2, None, messages, await anext(messages))

    async def leave():
        work = wait_for_either(
            asyncio.ensure_future(hear()), asyncio.ensure_future(search())
        )
        task = asyncio.ensure_future(work)
        await asyncio.sleep(0.03)
        task.cancel()
        try:
            await task
        except asyncio.CancelledError as error:
            context.error = error  # a traceback that is kept keeps the standby, too
        context.was_closed = context.is_closed

    context.asyncio_runner.run(leave())


@then("the standby is closed")
def check_closed(context):
    assert context.was_closed


@when("an engine is silent with a request whose entry {knows} silences")
def hold_engine_silent(context, knows):
    async def listen():
        (address,) = allocate_addresses(1)
        writers = []
        server = await asyncio.start_server(lambda _, w: writers.append(w), *address)
        runner = Runner("e", "r1", "z1", address, ServiceKind.ENGINE)
        forward = Forward(
            request_id="r",
            attempt=1,
            runner_id="e",
            service_name="llm",
            workspace="",
            work_class=WorkClass.ONLINE,
            deadline_s=30.0,
            idempotent=True,
            path="/",
            content_type="application/json",
            body=b"{}",
            accepts_silence=knows == "knows",
        )
        client = HttpClient(LoopTimers())
        answer = read_answer(client, runner, forward, RunnerStream("r"))
        try:
            async with aclosing(answer) as messages:
                return type(await anext(messages)).__name__
        except RequestError as error:
            return error.reason
        finally:
            client.close()
            server.close()
            for writer in writers:
                writer.close()

    context.message = context.asyncio_runner.run(listen())


@then('the home tells of "{message}"')
def check_message(context, message):
    assert context.message == message, context.message
