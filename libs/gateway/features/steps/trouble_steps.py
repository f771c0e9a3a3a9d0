"""Steps on runners that crash, name limits or answer without end."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run, set_faults
from platform_fleet import ENGINE, PLAIN

from damaskjunction.standins import make_prompt_header

QUIET_PERIOD_S = 0.5


@given('an engine "{name}" whose answers are "{script}"')
def add_raw_engine(context, name, script):
    run(context, context.platform.add_raw_runner(name, ENGINE, script))


@given('a plain runner "{name}" whose answers are "{script}"')
def add_raw_plain(context, name, script):
    run(context, context.platform.add_raw_runner(name, PLAIN, script))


@given('an engine "{name}" whose answers are "{script}" and whose reports have no end')
def add_engine_with_endless_reports(context, name, script):
    work = context.platform.add_raw_runner(
        name, ENGINE, script, has_endless_reports=True
    )
    run(context, work)


@when('runner "{name}" has had a request and an engine "{other}" joins')
def add_engine_after_request(context, name, other):
    add_engine_after_requests(context, name, 1, other)


@when('runner "{name}" has had {count:d} requests and an engine "{other}" joins')
def add_engine_after_requests(context, name, count, other):
    raw_runner = context.platform.raw_runners[name]
    run(context, context.platform.wait_for(lambda: raw_runner.n_requests >= count))
    run(context, context.platform.add_runner(other, ENGINE))


@then("the caller gets no complete answer within {limit_s:g} s")
def check_no_whole_answer(context, limit_s):
    assert context.took_s <= limit_s, context.took_s
    assert context.reply.status != 200 or not context.reply.is_complete, context.reply


@then('runner "{name}" has closed connections and sent at most {megabytes:d} MB in all')
def check_bytes_written(context, name, megabytes):
    runner = context.platform.raw_runners[name]
    run(context, asyncio.sleep(QUIET_PERIOD_S))
    assert runner.n_bytes_written <= megabytes * 1e6, runner.n_bytes_written
    assert not runner.n_answering, runner.n_answering


@when('a caller takes up "{path}" after event {number:d} at "{host}" as "{request_id}"')
def take_up(context, path, number, host, request_id):
    work = context.platform.call(
        host,
        "POST",
        path,
        headers={"Last-Event-Id": str(number)},
        request_id=request_id,
    )
    context.reply = run(context, work)


@when(
    'a caller requests "{path}" at "{host}" as "{request_id}" and an engine '
    '"{name}" joins'
)
def send_then_join(context, path, host, request_id, name):
    async def work():
        call = context.platform.call(host, "POST", path, request_id=request_id)
        task = asyncio.ensure_future(call)
        await context.platform.add_runner(name, ENGINE)
        return await task

    context.reply = run(context, work())


def make_events(first, last):
    events = (f"id: {n}\ndata: token {n}\n\n" for n in range(first, last + 1))
    return "".join(events).encode()


@then("the caller gets events {first:d} to {last:d}, incomplete, and no other bytes")
def check_only_events(context, first, last):
    reply = context.reply
    assert reply.status == 200 and not reply.is_complete, reply
    assert reply.body == make_events(first, last), reply


@then(
    "the caller gets no bytes but events {first:d} to {last:d}, and no complete answer"
)
def check_take_up(context, first, last):
    reply = context.reply
    assert reply.status != 200 or not reply.is_complete, reply
    assert reply.status != 200 or reply.body == make_events(first, last), reply


@then('runner "{name}" has run {count:d} requests')
def check_raw_runs(context, name, count):
    n_runs = context.platform.raw_runners[name].n_runs
    assert n_runs == count, n_runs


@given('engines "{names}" with {slots:d} slots')
def add_engines_with_slots(context, names, slots):
    for name in names.split(","):
        run(context, context.platform.add_runner(name, ENGINE, slots=slots))


@given('plain runners "{names}" with {slots:d} slots')
def add_plain_with_slots(context, names, slots):
    for name in names.split(","):
        run(context, context.platform.add_runner(name, PLAIN, slots=slots))


@given('runner "{name}" names a limit of {limit:g} requests a second')
def set_limit(context, name, limit):
    context.platform.runners[name].faults["limit_per_s"] = limit


@when(
    'callers send {rate:d} requests a second to "{path}" at both hosts for '
    "{seconds:d} s"
)
def send_at_rate(context, rate, path, seconds):
    now = context.platform.timers.now

    async def call(number):
        began_at_s = now()
        reply = await context.platform.call(
            f"h{number % 2}", "POST", f"{path}{number}", request_id=f"q{number}"
        )
        return reply, now() - began_at_s

    async def work():
        calls = []
        for number in range(rate * seconds):
            calls.append(asyncio.ensure_future(call(number)))
            await asyncio.sleep(1.0 / rate)
        context.timed_replies = await asyncio.gather(*calls)

    run(context, work())


@then(
    'in any 4 s from second {start:d} on runner "{name}" gets at most {most:d} '
    "requests and at least {least:d}"
)
def check_rate(context, start, name, most, least):
    window = 4.0
    times_s = context.platform.runners[name].run_times_s
    starts_s = [at_s for at_s in times_s if at_s >= times_s[0] + start]
    last_s = starts_s[-1] if starts_s else 0.0
    counts = [
        sum(begin_s <= at_s < begin_s + window for at_s in times_s)
        for begin_s in starts_s
        if begin_s + window <= last_s + 1.0
    ]
    assert counts and max(counts) <= most and min(counts) >= least, counts


@then(
    "the callers' requests are served or refused within {limit_s:g} s, {share:d} of 10 "
    "are served"
)
def check_prompt_replies(context, limit_s, share):
    replies = context.timed_replies
    n_served = sum(reply.status == 200 and reply.is_complete for reply, _ in replies)
    assert max(took_s for _, took_s in replies) <= limit_s
    assert all(reply.status in (200, 503) for reply, _ in replies)
    assert n_served >= share * len(replies) / 10, n_served


@given('engines end when they answer a prompt with the part "{part}"')
def set_deadly_part(context, part):
    set_faults(context, "deadly_part", part)


@given("every engine crashes on each request")
def crash_engines(context):
    set_faults(context, "crash", 1)


@given("every engine aborts each request")
def abort_requests(context):
    set_faults(context, "abort", 1)


@when("every engine recovers")
def recover_engines(context):
    set_faults(context, "abort", 0)


@when('a caller requests "{path}" {count:d} times at different hosts')
def send_repeatedly(context, path, count):
    names = list(context.platform.hosts)
    context.replies = []
    for number in range(count):
        host = names[number % len(names)]
        work = context.platform.call(host, "POST", path, request_id=f"q{number}")
        context.replies.append(run(context, work))
        run(context, asyncio.sleep(0.05))


@when("all hosts know a suspect")
def wait_for_suspects(context):
    def is_known():
        hosts = context.platform.hosts.values()
        documents = [host.dump.to_document()["suspects"] for host in hosts]
        return all(any(document.values()) for document in documents)

    run(context, context.platform.wait_for(is_known))


@then("the last {count:d} requests got status {status:d}")
def check_last_statuses(context, count, status):
    statuses = [reply.status for reply in context.replies[-count:]]
    assert statuses == [status] * count, statuses


@then('the engines received "{path}" {minimum:d} to {maximum:d} times')
@then('the engines received "{path}" {minimum:d} or {maximum:d} times')
def check_crashes(context, path, minimum, maximum):
    n_received = sum(len(r.recorded_runs) for r in context.platform.runners.values())
    assert minimum <= n_received <= maximum, n_received


def make_prompt(parts, number):
    return make_prompt_header([*parts.split(","), f"own{number}"])


@when('both hosts get {count:d} prompts "{deadly}", each before one "{sound}"')
def send_deadly_and_sound(context, count, deadly, sound):
    async def send(parts, number):
        name = f"h{number % 2}"
        headers = make_prompt(parts, number)
        return await context.platform.call(
            name, "POST", f"/ask/{number}", headers=headers, request_id=f"q{number}"
        )

    async def work():
        context.replies = []
        for number in range(count):
            await send(deadly, 2 * number)
            context.replies.append(await send(sound, 2 * number + 1))

    run(context, work())


@when("all hosts are killed and started again")
def restart_all_hosts(context):
    fleet = context.platform
    names = list(fleet.hosts)

    async def work():
        for name in names:
            await fleet.kill_host(name)
        for name in names:
            await fleet.start_host(name)
        await fleet.wait_for(
            lambda: all(
                len(host.view.serving_hosts()) == len(names)
                and host.view.is_ready
                and len(host.view.fleet.runners_by_id) == len(fleet.runners)
                for host in fleet.hosts.values()
            )
        )

    run(context, work())


@then('at most {count:d} prompts with the part "{part}" ran after the fifth crash')
def check_deadly_runs(context, count, part):
    n_ends = sum(runner.n_ends for runner in context.platform.runners.values())
    assert n_ends <= 5 + count, n_ends


@then("the last {count:d} prompts without it are answered completely")
def check_last_replies(context, count):
    replies = context.replies[-count:]
    assert all(reply.status == 200 and reply.is_complete for reply in replies), replies
