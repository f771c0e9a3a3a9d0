"""Steps of the feature on the texts of items that are not whole."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then, when
from fake_homes import make_host
from fleet_helpers import run

from damaskjunction.batch import BatchItem
from damaskjunction.core import Address, ManualTimers, MemoryPart, Runner, ServiceKind
from damaskjunction.gateway.jobs.item_events import collect_events
from damaskjunction.gateway.jobs.item_progress import ItemProgress
from damaskjunction.gateway.jobs.owed_items import OwedItem
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError
from damaskjunction.gateway.state import ServingState
from damaskjunction.http import BrokenResponseError, RawEvent, ReceiveBudget
from damaskjunction.node import HostView
from damaskjunction.routing import LeavingRunners

MAX_EVENTS = 10_000
PACE_S = 0.05  # between reads


def kept_bytes(context):
    return sum(progress.n_bytes for progress in context.items)


def add_event(context, progress, text):
    number = (progress.last_event_id or 0) + 1
    progress.add_event(RawEvent(b"", number, text), context.runner)


@given(
    "{count:d} items with texts of {size:d} bytes each, and a budget of {limit:d} bytes"
)
def make_items(context, count, size, limit):
    timers = context.timers = ManualTimers()
    state = ServingState(HostView(make_host(1, "h1")), timers, {}, LeavingRunners())
    budget = ReceiveBudget(MemoryPart(limit))
    context.runner = Runner(
        "r1",
        "r1",
        "z1",
        Address("10.0.0.9", 1),
        ServiceKind.ENGINE,
        "llm",
        version="v1",
    )
    context.items = []
    for number in range(count):
        item = BatchItem(f"i{number}", "/night/x", {}, b"", 1)
        owed = OwedItem(item.item_id, "j1", timers)
        progress = ItemProgress(item, owed, state, timers, budget=budget)
        context.items.append(progress)
        add_event(context, progress, "x" * (size // 2))
        add_event(context, progress, "y" * (size // 2))


@when("one of them gets events {size:d} characters long without end")
def grow_one(context, size):
    context.is_given_up = False
    try:
        for _ in range(MAX_EVENTS):
            add_event(context, context.items[0], "z" * size)
    except BrokenResponseError:
        context.is_given_up = True


@when("all of them get events of {size:d} characters in turn, {count:d} times")
def grow_all(context, size, count):
    context.most_bytes = 0
    for _ in range(count):
        for progress in context.items:
            try:
                add_event(context, progress, "z" * size)
            except BrokenResponseError:
                progress.end_attempt()
            context.most_bytes = max(context.most_bytes, kept_bytes(context))


class EndingBody:
    """The body of an answer of two events; ``on_event`` is called after the first."""

    def __init__(self, on_event):
        self._on_event = on_event

    def set_pacer(self, pacer):
        """Read at once."""

    def keep(self, n_bytes):
        """Bound nothing."""

    async def chunks(self):
        yield b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
        self._on_event()


class SilentBody(EndingBody):
    """The body of an answer that is silent for a while before an event in two parts."""

    async def chunks(self):
        self._on_event()
        yield b"id: 1\n"
        yield b"data: one\n\n"


@when(
    "its runner is silent for {silent_s:g} s, answers a probe, and sends an event in "
    "two parts"
)
def send_after_silence(context, silent_s):
    progress = context.items[0]
    progress.begin_afresh("test")
    timers = context.timers

    def be_silent():
        timers.advance(silent_s)
        progress.hearing.restart()
        timers.advance(PACE_S)

    response = SimpleNamespace(
        body=SilentBody(be_silent), runner=context.runner, is_process_proved=False
    )
    progress.hearing.begin()
    context.error = None
    try:
        run(context, collect_events(progress, response, timers))
    except RunnerFailedError as error:
        context.error = error


@then("its attempt has not failed")
def check_not_failed(context):
    assert context.error is None, context.error


@when("the stream of one of them ends, just after its text was dropped")
def end_stream(context):
    progress = context.items[0]
    progress.begin_afresh("test")

    body = EndingBody(progress._kept.revoke)
    response = SimpleNamespace(
        body=body, runner=context.runner, is_process_proved=False
    )
    context.is_whole = True
    try:
        run(context, collect_events(progress, response, ManualTimers()))
    except RunnerFailedError:
        context.is_whole = False


@then("the item is not whole")
def check_not_whole(context):
    assert not context.is_whole


@then("its attempt is given up, and its next attempt begins afresh")
def check_given_up(context):
    assert context.is_given_up
    progress = context.items[0]
    assert (progress.texts, progress.last_event_id) == ([], None)
    progress.end_attempt()
    add_event(context, progress, "first")
    assert progress.texts == ["first"]


@then("at most {limit:d} bytes are kept, and the other items have their texts")
def check_others(context, limit):
    assert kept_bytes(context) <= limit, kept_bytes(context)
    assert all(len(progress.texts) == 2 for progress in context.items[1:])


@then("at most {limit:d} bytes are kept")
def check_kept(context, limit):
    assert context.most_bytes <= limit, context.most_bytes
