"""Steps of the features of the host process."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from platform_fleet import (
    ENGINE,
    PLAIN,
    ROUTES,
    PlatformFleet,
    event_ids,
    make_configuration,
    make_route,
)

from damaskjunction.standins import Mode, make_prompt_header

STEP_TIMEOUT_S = 40.0
QUIET_PERIOD_S = 0.5


def run(context, work):
    async def bounded():
        async with asyncio.timeout(STEP_TIMEOUT_S):
            return await work

    return context.asyncio_runner.run(bounded())


@given("a fleet of {n_hosts:d} hosts on the platform")
def start_fleet(context, n_hosts):
    async def start():
        context.platform = PlatformFleet(n_hosts)
        await context.platform.start(n_hosts)

    run(context, start())


@given('engines "{names}"')
def add_engines(context, names):
    for name in names.split(","):
        run(context, context.platform.add_runner(name, ENGINE))


@given('plain runners "{names}"')
def add_plain(context, names):
    for name in names.split(","):
        run(context, context.platform.add_runner(name, PLAIN, slots=8))


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
    raw_runner = context.platform.raw_runners[name]
    run(context, context.platform.wait_for(lambda: raw_runner.n_requests))
    add_engines(context, other)


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


def set_faults(context, fault, value):
    for runner in context.platform.runners.values():
        runner.faults[fault] = value


def clear_stream_faults(context):
    for fault in ("break_after", "silent_after"):
        set_faults(context, fault, 0)


@given("every engine breaks streams after event {number:d}")
def break_streams(context, number):
    set_faults(context, "break_after", number)


@given("every engine stalls after event {number:d}")
def stall_streams(context, number):
    set_faults(context, "silent_after", number)


@given('engine "{name}" is full')
def fill_engine(context, name):
    context.platform.runners[name].faults["full"] = 1


@given('plain runner "{name}" fails with {status:d}')
def fail_runner(context, name, status):
    context.platform.runners[name].faults["fail"] = status


@given("every plain runner fails with {status:d}")
def fail_all_runners(context, status):
    set_faults(context, "fail", status)


@given('engines end when they answer a prompt with the part "{part}"')
def set_deadly_part(context, part):
    set_faults(context, "deadly_part", part)


@given("no item can succeed")
def fail_items(context):
    set_faults(context, "impossible", 1)


@given('the address of "{name}" now belongs to another runner')
def reassign_address(context, name):
    context.platform.runners[name].runner_id = "another"


def received(context, request_id):
    return [
        entry
        for runner in context.platform.runners.values()
        for entry in runner.recorded_runs
        if entry[0] == request_id
    ]


@when('a caller requests "{path}" at "{host}" as "{request_id}"')
def send_request(context, path, host, request_id):
    began_at_s = context.platform.timers.now()
    context.reply = run(
        context, context.platform.call(host, "POST", path, request_id=request_id)
    )
    context.took_s = context.platform.timers.now() - began_at_s


@when(
    'a caller requests "{path}" at "{host}" as "{request_id}" and engines recover '
    "after a break"
)
def send_then_recover_after_break(context, path, host, request_id):
    async def work():
        call = asyncio.ensure_future(
            context.platform.call(host, "POST", path, request_id=request_id)
        )
        await context.platform.wait_for(lambda: received(context, request_id))
        await context.platform.wait_for(
            lambda: any(r.n_running for r in context.platform.runners.values())
        )
        # Only the engine that runs the request still breaks its stream.
        for runner in context.platform.runners.values():
            if not runner.recorded_runs:
                runner.faults["break_after"] = 0
        return await call

    context.reply = run(context, work())


@when(
    'a caller requests "{path}" at "{host}" as "{request_id}" and engines recover '
    "after {delay_s:g} s"
)
def send_then_recover(context, path, host, request_id, delay_s):
    async def work():
        call = asyncio.ensure_future(
            context.platform.call(host, "POST", path, request_id=request_id)
        )
        await context.platform.wait_for(lambda: received(context, request_id))
        await asyncio.sleep(delay_s)
        clear_stream_faults(context)
        return await call

    context.reply = run(context, work())


@when('{count:d} callers request "{path}" at both hosts at once')
def send_at_once(context, count, path):
    async def work():
        names = list(context.platform.hosts)
        return await asyncio.gather(
            *(
                context.platform.call(
                    names[number % len(names)], "POST", path, request_id=f"q{number}"
                )
                for number in range(count)
            )
        )

    context.replies = run(context, work())


@then("the caller gets events {first:d} to {last:d}, complete")
def check_complete(context, first, last):
    assert_events(context.reply, first, last, is_complete=True)


@then("every caller gets events {first:d} to {last:d}, complete")
def check_all_complete(context, first, last):
    for reply in context.replies:
        assert_events(reply, first, last, is_complete=True)


@then(
    "every caller gets events {first:d} to {last:d}, complete, or is refused "
    "and did not run"
)
def check_complete_or_refused(context, first, last):
    served = [reply for reply in context.replies if reply.status != 503]
    assert len(served) >= 2, context.replies
    for reply in served:
        assert_events(reply, first, last, is_complete=True)
    for reply in context.replies:
        if reply.status == 503:
            assert not received(context, reply.headers["x-request-id"]), reply


@then("the caller gets events {first:d} to {last:d}, incomplete")
def check_incomplete(context, first, last):
    assert_events(context.reply, first, last, is_complete=False)


def assert_events(reply, first, last, *, is_complete):
    assert reply.status == 200, reply
    ids = event_ids(reply.body)
    assert ids == list(range(first, last + 1)), ids
    assert reply.is_complete is is_complete, reply


@then('the response has the id "{request_id}"')
def check_request_id(context, request_id):
    assert context.reply.headers["x-request-id"] == request_id, context.reply
    assert context.reply.headers["x-response-stamp"] == request_id, context.reply


@then(
    'runner "{name}" received "{request_id}" once, addressed to it, with at most '
    "{limit_ms:d} ms left"
)
def check_request_headers(context, name, request_id, limit_ms):
    assert len(received(context, request_id)) == 1
    headers = context.platform.runners[name].headers_by_request[request_id]
    assert headers["x-expect-instance"] == name, headers
    assert 0 < int(headers["x-deadline-ms"]) <= limit_ms, headers


@then('the runners received "{request_id}" {count:d} times')
def check_received(context, request_id, count):
    entries = received(context, request_id)
    assert len(entries) == count, entries


@then(
    'the runners received "{request_id}" {count:d} times, the second time after event '
    "{number:d}"
)
def check_resumed(context, request_id, count, number):
    entries = received(context, request_id)
    assert len(entries) == count, entries
    assert sorted(last for _, last in entries) == ["", str(number)], entries


@then("the caller gets status {status:d} with a Retry-After header")
def check_refusal(context, status):
    assert context.reply.status == status, context.reply
    assert float(context.reply.headers["retry-after"]) > 0, context.reply


@then("the caller gets status {status:d}")
def check_status(context, status):
    assert context.reply.status == status, context.reply


@then("every caller gets status {status:d}")
def check_statuses(context, status):
    assert [r.status for r in context.replies] == [status] * len(context.replies)


@then('engine "{name}" never ran more than {limit:d} at once')
def check_concurrency(context, name, limit):
    assert context.platform.runners[name].peak_running <= limit


@then('runner "{name}" received no requests')
def check_no_requests(context, name):
    assert not context.platform.runners[name].recorded_runs


@when('the operator adds the route "{prefix}" as version {version:d}')
def add_route(context, prefix, version):
    route = make_route("more", prefix, "idempotent", PLAIN)
    document = make_configuration(version, [*ROUTES, route])
    context.platform.store.put("config", "main", document)


@when(
    'the operator adds the route "{prefix}" as version {version:d} and every watch '
    "misses it"
)
def add_route_unwatched(context, prefix, version):
    route = make_route("more", prefix, "idempotent", PLAIN)
    document = make_configuration(version, [*ROUTES, route])
    context.platform.store.put_without_event("config", "main", document)


@when("the operator writes version {version:d} without that route again")
def write_older(context, version):
    document = make_configuration(version, ROUTES)
    context.platform.store.put("config", "main", document)


async def statuses(context, path):
    return [
        (await context.platform.call(host, "POST", path)).status
        for host in context.platform.hosts
    ]


@then('a caller gets status {status:d} for "{path}" at each host within {limit_s:g} s')
def check_active(context, status, path, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            while set(await statuses(context, path)) != {status}:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    run(context, work())


@then('a caller still gets status {status:d} for "{path}" at each host')
def check_unchanged(context, status, path):
    async def work():
        await asyncio.sleep(QUIET_PERIOD_S)
        assert set(await statuses(context, path)) == {status}

    run(context, work())


def known_runners(context):
    return [set(h.view.fleet.runners_by_id) for h in context.platform.hosts.values()]


@when('the entry of runner "{name}" loses its address')
def remove_address(context, name):
    context.platform.store.put("servers", name, {"Service": 7, "State": "ready"})


@then('only "{name}" is known as a runner')
def check_known(context, name):
    run(
        context,
        context.platform.wait_for(
            lambda: all(known == {name} for known in known_runners(context))
        ),
    )


@when('runner "{name}" reports that it is draining')
def drain_runner(context, name):
    context.platform.runners[name].register_in_store("draining")

    def is_known():
        return all(
            name not in {r.runner_id for r in host.view.fleet.live_runners()}
            for host in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(is_known))


@when('a caller requests "{path}" at "{host}" with {size:d} bytes of headers')
def send_with_headers(context, path, host, size):
    headers = {"X-Long": "x" * size}
    work = context.platform.call(host, "POST", path, headers=headers)
    context.reply = run(context, work)


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
    for number in range(count):
        host = names[number % len(names)]
        work = context.platform.call(host, "POST", path, request_id=f"q{number}")
        run(context, work)
        run(context, asyncio.sleep(0.05))


@then('the engines received "{path}" {minimum:d} or {maximum:d} times')
def check_crashes(context, path, minimum, maximum):
    n_received = sum(len(r.recorded_runs) for r in context.platform.runners.values())
    assert minimum <= n_received <= maximum, n_received


@given(
    "the operator sets the timeout of all routes to {timeout_s:g} s as version "
    "{version:d}"
)
def set_route_timeouts(context, timeout_s, version):
    routes = [{**route, "TimeoutMs": int(timeout_s * 1000)} for route in ROUTES]
    document = make_configuration(version, routes)
    context.platform.store.put("config", "main", document)

    def is_active():
        hosts = context.platform.hosts.values()
        return all(host.state.table.version == version for host in hosts)

    run(context, context.platform.wait_for(is_active))


@then("the response took between {min_s:g} s and {max_s:g} s")
def check_duration(context, min_s, max_s):
    assert min_s <= context.took_s <= max_s, context.took_s


@given('unresponsive plain runners "{names}"')
def add_unresponsive(context, names):
    for name in names.split(","):
        work = context.platform.add_runner(name, PLAIN, n_events=5)
        run(context, work)
        context.platform.runners[name].faults["mute"] = 1


@given('slow engines "{names}"')
def add_slow(context, names):
    for name in names.split(","):
        run(context, context.platform.add_runner(name, ENGINE, n_events=40))


@when('a caller requests "{path}" at "{host}" as "{request_id}" and disconnects')
def send_and_disconnect(context, path, host, request_id):
    async def work():
        call = asyncio.ensure_future(
            context.platform.call(host, "POST", path, request_id=request_id)
        )
        runners = context.platform.runners.values()
        await context.platform.wait_for(lambda: any(r.n_running for r in runners))
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    run(context, work())


@then('engine "{name}" is idle within {limit_s:g} s')
def check_idle(context, name, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            runner = context.platform.runners[name]
            await context.platform.wait_for(lambda: not runner.n_running)

    run(context, work())


@when(
    'a caller requests "{path}" at "{host}" as "{request_id}" and the host is drained'
)
def send_then_drain(context, path, host, request_id):
    async def work():
        call = asyncio.ensure_future(
            context.platform.call(host, "POST", path, request_id=request_id)
        )
        runners = context.platform.runners.values()
        await context.platform.wait_for(lambda: any(r.n_running for r in runners))
        context.leaving = asyncio.ensure_future(context.platform.hosts[host].drain())
        return await call

    context.reply = run(context, work())


@then('host "{host}" reports that it is not ready')
def check_not_ready(context, host):
    status = run(context, context.platform.fetch_readiness(host))
    assert status == 503, status


@then('only "{name}" is in the addresses that "{host}" returns')
def check_addresses(context, name, host):
    expected = [str(context.platform.settings[name].caller)]

    async def work():
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while await context.platform.fetch_addresses(host) != expected:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
        await context.leaving

    run(context, work())


@given("the store loses its history")
def lose_history(context):
    # Each host watches four kinds: configuration, runners, hosts and jobs.
    context.platform.store.faults["no_history"] = len(context.platform.hosts) * 4


@when('plain runner "{name}" joins')
def join_runner(context, name):
    # Only the new runner can respond with status 200 from now on.
    context.platform.runners["p1"].faults["fail"] = 500
    run(context, context.platform.add_runner(name, PLAIN, slots=8))


@when('the entry of runner "{name}" expires and the store is back')
def expire_entry(context, name):
    def is_lost():
        return all(h.has_lost_store for h in context.platform.hosts.values())

    run(context, context.platform.wait_for(is_lost))
    context.platform.store.remove("servers", name)
    context.platform.store.faults["refuse"] = 0

    def is_back():
        return not any(h.has_lost_store for h in context.platform.hosts.values())

    run(context, context.platform.wait_for(is_back))


@then('runner "{name}" is removed within {limit_s:g} s')
def check_removed(context, name, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            await context.platform.wait_for(
                lambda: all(name not in known for known in known_runners(context))
            )

    run(context, work())


# Batch


@when('the job "{job_id}" of {count:d} items is submitted at "{host}"')
def submit(context, job_id, count, host):
    context.reply = run(context, context.platform.submit(host, job_id, count))


@when(
    'the job "{job_id}" of {count:d} items of {tokens:d} tokens is submitted at '
    '"{host}"'
)
def submit_sized(context, job_id, count, tokens, host):
    work = context.platform.submit(host, job_id, count, tokens=tokens)
    context.reply = run(context, work)


@then("it is accepted")
def check_accepted(context):
    assert context.reply.status == 202, context.reply


@then("it is refused with {status:d}")
def check_refused(context, status):
    assert context.reply.status == status, context.reply


@then('each host returns the same {count:d} complete results of "{job_id}"')
def check_results(context, job_id, count):
    text = "\n".join(f"token {number}" for number in range(1, 11))
    results_documents = [
        run(context, context.platform.wait_for_results(host, job_id, count))
        for host in context.platform.hosts
    ]
    assert all(
        results_document == results_documents[0]
        for results_document in results_documents
    ), results_documents
    assert results_documents[0]["Total"] == count, results_documents[0]
    for result in results_documents[0]["Results"]:
        assert result["State"] == "completed", result
        assert result["Text"] == text, result
    names = {result["Id"] for result in results_documents[0]["Results"]}
    assert names == {f"{job_id}-{number}" for number in range(count)}, names


@then('the job "{job_id}" has {count:d} failed results')
def check_failed(context, job_id, count):
    results_document = run(
        context, context.platform.wait_for_results("h0", job_id, count)
    )
    assert [r["State"] for r in results_document["Results"]] == ["errored"] * count, (
        results_document
    )


@then('the job "{job_id}" is marked as done')
def check_done(context, job_id):
    store = context.platform.store
    run(
        context,
        context.platform.wait_for(
            lambda: (store.status("batch-jobs", job_id) or {}).get("is_done")
        ),
    )


@then("no item ran twice")
def check_no_repeat(context):
    names = [
        request_id
        for runner in context.platform.runners.values()
        for request_id, _ in runner.recorded_runs
    ]
    assert len(names) == len(set(names)), names


@given("the store loses the next response")
def lose_response(context):
    context.platform.store.faults["lose_answers"] = 1


@given('the store can\'t be reached from "{host}"')
def disconnect_store(context, host):
    context.platform.proxies[host].set_mode(Mode.CLOSED)


@given("the store refuses every call")
def refuse_store_calls(context):
    context.platform.store.refuse_calls()


@when("the store is back")
def restore_store(context):
    context.platform.store.faults["refuse"] = 0


@then('no host knows the job "{job_id}"')
def check_unknown(context, job_id):
    async def work():
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while True:
                results_documents = [
                    await context.platform.results(host, job_id)
                    for host in context.platform.hosts
                ]
                if set(results_documents) == {404}:
                    return
                assert set(results_documents) <= {404, 503}, results_documents
                await asyncio.sleep(0.05)

    run(context, work())


@when('the host "{host}" fails and all engines recover')
def fail_host(context, host):
    run(context, context.platform.kill_host(host))
    clear_stream_faults(context)


@when("an engine has broken the stream of an item and all engines recover")
def recover_after_break(context):
    def has_received():
        return any(r.recorded_runs for r in context.platform.runners.values())

    run(context, context.platform.wait_for(has_received))
    run(context, asyncio.sleep(0.15))  # the events before the break, 0.02 s each
    clear_stream_faults(context)


@when('the job "{job_id}" is cancelled at "{host}"')
def cancel_job(context, job_id, host):
    path = f"/damaskjunction/lots/{job_id}"
    reply = run(context, context.platform.call(host, "DELETE", path))
    assert reply.status == 200, reply


@then("no more items of the job start")
def check_stopped(context):
    runners = context.platform.runners.values()
    run(
        context,
        context.platform.wait_for(lambda: not any(r.n_running for r in runners)),
    )
    n_received = sum(len(runner.recorded_runs) for runner in runners)
    run(context, asyncio.sleep(QUIET_PERIOD_S))
    assert sum(len(runner.recorded_runs) for runner in runners) == n_received


@when('every host knows the job "{job_id}"')
def wait_known(context, job_id):
    def is_known():
        return all(
            job_id in h.job_repository.jobs_by_id
            for h in context.platform.hosts.values()
        )

    run(context, context.platform.wait_for(is_known))


@when("items of the job are running")
def wait_running(context):
    runners = context.platform.runners.values()
    run(context, context.platform.wait_for(lambda: any(r.n_running for r in runners)))


@then('each host returns the body of item "{item_id}" of "{job_id}"')
def check_body(context, item_id, job_id):
    path = f"/damaskjunction/items/{job_id}?Id={item_id}"
    for host in context.platform.hosts:
        reply = run(context, context.platform.call(host, "GET", path))
        assert reply.status == 200, reply
        assert reply.body == b"item", reply


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
