"""Steps on runners that are silent for a while."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from batch_steps import home_of_engines
from behave import given, then, when
from fleet_helpers import received, run
from owed_items_steps import pool_document
from platform_fleet import (
    ENGINE,
    PLAIN,
    ROUTES,
    Reply,
    event_ids,
    make_configuration,
    make_route,
)

from damaskjunction.standins import RUNNERS_KIND, RunnerStandin, Standstill

N_PLAIN_SLOTS = 8
HEAD_DELAY_S = 0.1
MAX_NOTICE_S = 0.05  # until a runner has noticed that a connection was closed
AFTER_S = 0.05
SETTLE_S = 0.2
LATE_NUMBER = 9
ENTRIES = ("h0", "h1")
DEAD_ADDRESS_OWNER = "dead"


class Load(NamedTuple):
    """Requests, the place at which runners stand still, and for how long."""

    duration: str
    place: str
    count: int
    path: str
    left_s: float


class TimedReply(NamedTuple):
    """A response and the seconds that it took."""

    request_id: str
    reply: Reply
    took_s: float


@given('engines "{names}" of {n_events:d} events that can stand still')
def add_engines(context, names, n_events):
    context.n_events = n_events
    for name in names.split(","):
        options = {"n_events": n_events, "delay_s": HEAD_DELAY_S}
        run(context, context.platform.add_runner(name, ENGINE, **options))


@given('plain runners "{names}" that can stand still')
def add_plain_alone(context, names):
    context.n_events = 0
    add_plain(context, names)


@given('plain runners "{names}" beside them')
def add_plain(context, names):
    for name in names.split(","):
        run(context, context.platform.add_runner(name, PLAIN, slots=N_PLAIN_SLOTS))


@given("the first engine that runs a stream breaks it after event {number:d}")
def break_first(context, number):
    runners = context.platform.runners.values()
    for runner in runners:
        runner.faults["break_after"] = number

    async def mend_others():
        await context.platform.wait_for(lambda: any(r.recorded_runs for r in runners))
        for runner in runners:
            if not runner.recorded_runs:
                runner.faults["break_after"] = 0

    context.beside = mend_others


@when(
    '{who} for {duration} at "{place}" of {count:d} request for "{path}" '
    "with {left_s:g} s left"
)
@when(
    '{who} for {duration} at "{place}" of {count:d} requests for "{path}" '
    "with {left_s:g} s left"
)
def stand_still(context, who, **values):
    load = context.load = Load(**values)
    is_of_one = {"all stand still": False, "one stands still": True}[who]
    n_awaited = 1 if is_of_one else load.count
    context.standstill = Standstill(load.place, n_awaited, is_of_one=is_of_one)
    for runner in context.platform.runners.values():
        runner.standstill = context.standstill
    beside = getattr(context, "beside", None)
    entries = getattr(context, "entries", ENTRIES)

    async def hold():
        await context.standstill.wait_for_begin()
        if load.duration != "good":
            await asyncio.sleep(float(load.duration.removesuffix(" s")))
            context.standstill.end()
        if is_of_one and context.standstill.is_over:
            await asyncio.sleep(SETTLE_S)
            context.pool_after = pool_document(context)

    async def work():
        calls = [
            asyncio.ensure_future(call(context.platform, entries, number, load))
            for number in range(load.count)
        ]
        others = [asyncio.ensure_future(hold())]
        if beside is not None:
            others.append(asyncio.ensure_future(beside()))
        context.timed_replies = await asyncio.gather(*calls)
        await asyncio.gather(*others)

    run(context, work())


async def call(platform, entries, number, load):
    request_id = f"q{number}"
    began_at_s = platform.timers.now()
    reply = await platform.call(
        entries[number % len(entries)],
        "POST",
        f"{load.path}{number}",
        headers={"X-Deadline-Ms": str(int(load.left_s * 1000))},
        request_id=request_id,
    )
    return TimedReply(request_id, reply, platform.timers.now() - began_at_s)


@when(
    'all stand still for {duration} at "{place}" of {count:d} requests for "{path}" '
    "with {left_s:g} s left, and {change} comes into force {when_}"
)
def change_beside(context, change, when_, **values):
    platform = context.platform
    new_route = make_route("new", "/new/", "idempotent", PLAIN)
    routes = {
        "a new route": [*ROUTES, new_route],
        "other timeouts": [{**route, "TimeoutMs": 4500} for route in ROUTES],
        "shorter timeouts": [{**route, "TimeoutMs": 500} for route in ROUTES],
        "fewer attempts": [{**route, "MaxAttempts": 1} for route in ROUTES],
        "the loss of their route": [new_route],
    }.get(change, ROUTES)
    document = make_configuration(2, routes)
    if change == "fewer slots":
        document["Services"][0]["Engine"]["Slots"] = 1

    async def put_in_force():
        platform.store.put("config", "main", document)
        hosts = platform.hosts.values()
        await platform.wait_for(lambda: all(h.state.table.version == 2 for h in hosts))

    async def change_later():
        await context.standstill.wait_for_begin()
        duration_s = float(values["duration"].removesuffix(" s"))
        wait_s = {"during": duration_s / 2, "after": duration_s + AFTER_S}[when_]
        await asyncio.sleep(wait_s)
        await put_in_force()

    if when_ == "before":
        run(context, put_in_force())
    else:
        context.beside = change_later
    stand_still(context, "all stand still", **values)


@when(
    'all stand still for {duration} at "{place}" of {count:d} requests for "{path}" '
    "with {left_s:g} s left, and a dead engine is listed"
)
def list_dead(context, **values):
    async def list_when_silent():
        await context.standstill.wait_for_begin()
        context.platform.list_runner(DEAD_ADDRESS_OWNER, ENGINE)

    context.beside = list_when_silent
    stand_still(context, "all stand still", **values)


@when(
    'all stand still for {duration} at "{place}" of {count:d} requests for "{path}" '
    "with {left_s:g} s left, and the entries of all are lost"
)
def lose_entries(context, **values):
    platform = context.platform

    async def lose_when_silent():
        await context.standstill.wait_for_begin()
        for name in platform.runners:
            platform.store.remove(RUNNERS_KIND, name)
        views = [host.view for host in platform.hosts.values()]
        await platform.wait_for(lambda: not any(v.fleet.runners_by_id for v in views))

    context.beside = lose_when_silent
    stand_still(context, "all stand still", **values)


@when(
    'all stand still for {duration} at "{place}" of {count:d} requests for "{path}" '
    "with {left_s:g} s left, and all hosts are told to stop"
)
def stop_hosts(context, **values):
    hosts = context.platform.hosts.values()

    async def stop_when_silent():
        await context.standstill.wait_for_begin()
        await asyncio.gather(*(host.drain() for host in hosts))

    context.beside = stop_when_silent
    stand_still(context, "all stand still", **values)


@when(
    'all stand still for {duration} at "{place}" of {count:d} requests for "{path}" '
    "with {left_s:g} s left, and their home is lost"
)
def lose_home(context, **values):
    platform = context.platform
    home_id = home_of_engines(context).host_id
    context.entries = [name for name in platform.hosts if name != home_id]

    async def lose_when_silent():
        await context.standstill.wait_for_begin()
        await platform.kill_host(home_id)

    context.beside = lose_when_silent
    stand_still(context, "all stand still", **values)


@when(
    'all stand still for {duration} at "{place}" of {count:d} requests for "{path}" '
    'with {left_s:g} s left, and again at "{next_place}"'
)
def stand_still_twice(context, next_place, **values):
    runners = context.platform.runners.values()

    async def repeat():
        first = context.standstill
        await first.wait_for_begin()
        again = Standstill(next_place, int(values["count"]))
        for runner in runners:
            runner.standstill = again
        await again.wait_for_begin()
        await asyncio.sleep(float(values["duration"].removesuffix(" s")))
        again.end()

    context.beside = repeat
    stand_still(context, "all stand still", **values)


@then("each request is answered completely")
def check_answers(context):
    expected = list(range(1, context.n_events + 1))
    wrong = [
        (timed.request_id, timed.reply.status, timed.reply.body[-40:], timed.took_s)
        for timed in context.timed_replies
        if timed.reply.status != 200
        or not timed.reply.is_complete
        or event_ids(timed.reply.body) != expected
    ]
    assert not wrong, wrong
    if not context.n_events:
        for timed in context.timed_replies:
            assert timed.reply.body.decode() == timed.request_id, timed


def runs_by_request(context):
    ids = [timed.request_id for timed in context.timed_replies]
    return {request_id: received(context, request_id) for request_id in ids}


@then("each ran once")
def check_runs(context):
    repeated = [runs for runs in runs_by_request(context).values() if len(runs) != 1]
    assert not repeated, repeated


@then("{count:d} of the requests ran twice, the second time after event {number:d}")
def check_repeated(context, count, number):
    runs = [runs for runs in runs_by_request(context).values() if len(runs) > 1]
    places = [sorted(last for _, last in entries) for entries in runs]
    assert places == [["", str(number)]] * count, runs


@then("all slots are free within {limit_s:g} s")
def check_slots(context, limit_s):
    hosts = context.platform.hosts.values()

    def are_free():
        pools = [host.dump.to_document()["slots"].get(ENGINE, {}) for host in hosts]
        return not any(sum(pool.get("used_by_runner", {}).values()) for pool in pools)

    async def work():
        async with asyncio.timeout(limit_s):
            await context.platform.wait_for(are_free)

    run(context, work())


def runs_of(context):
    """Return the runner that stood still, and the one that had the request then."""
    runners: list[RunnerStandin] = [
        runner for runner in context.platform.runners.values() if runner.recorded_runs
    ]
    assert len(runners) == 2, [runner.recorded_runs for runner in runners]
    return sorted(runners, key=lambda runner: runner.run_times_s[0])


@then("the request began at another runner within {limit_s:g} s of silence")
def check_left(context, limit_s):
    _, second = runs_of(context)
    silent_s = second.run_times_s[0] - context.standstill.began_at_s
    assert silent_s <= limit_s, silent_s


@then("its first run had ended before")
def check_order(context):
    first, second = runs_of(context)
    assert first.run_ends_s, "the first run goes on"
    overlap_s = first.run_ends_s[0] - second.run_times_s[0]
    assert overlap_s <= MAX_NOTICE_S, overlap_s


@then(
    "each answer breaks off after event {number:d}, between {min_s:g} s and {max_s:g} s"
)
def check_deadline(context, number, min_s, max_s):
    expected = list(range(1, number + 1))
    wrong = [
        (timed.request_id, event_ids(timed.reply.body), timed.took_s)
        for timed in context.timed_replies
        if timed.reply.is_complete
        or event_ids(timed.reply.body) != expected
        or not min_s <= timed.took_s <= max_s
    ]
    assert not wrong, wrong


@then('those of "{path}" ran once')
def check_runs_of(context, path):
    if context.load.path == path:
        check_runs(context)


@then("0.2 s after the silence no request waited for a slot")
def check_withdrawn(context):
    assert not context.pool_after["n_online_waiting"], context.pool_after


@when(
    'all stand still for {duration} at "{place}" of {count:d} requests for "{path}" '
    "with {left_s:g} s left, and one for "
    '"{late_path}" comes {after_s:g} s later'
)
def send_late(context, late_path, after_s, **values):
    async def send_when_silent():
        await context.standstill.wait_for_begin()
        await asyncio.sleep(after_s)
        late = Load(**{**values, "path": late_path})
        context.late_reply = await call(context.platform, ENTRIES, LATE_NUMBER, late)

    context.beside = send_when_silent
    stand_still(context, "all stand still", **values)


@then("the late request is answered completely")
def check_late(context):
    request_id, reply, took_s = context.late_reply
    n_events = len(event_ids(reply.body))
    told = (request_id, reply.status, n_events, reply.is_complete, reply.body[-60:])
    is_plain = context.late_reply.reply.body == request_id.encode()
    is_whole = is_plain or n_events == context.n_events
    assert reply.status == 200 and reply.is_complete and is_whole, (told, took_s)
