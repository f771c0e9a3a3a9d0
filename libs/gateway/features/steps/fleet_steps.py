"""Steps of the features of the host process."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import clear_stream_faults, received, run, set_faults
from platform_fleet import (
    ENGINE,
    PLAIN,
    ROUTES,
    PlatformFleet,
    event_ids,
    make_configuration,
)

STEP_TIMEOUT_S = 40.0


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


@given('the address of "{name}" now belongs to another runner')
def reassign_address(context, name):
    context.platform.runners[name].runner_id = "another"


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


@when('a caller requests "{path}" at "{host}" with {size:d} bytes of headers')
def send_with_headers(context, path, host, size):
    headers = {"X-Long": "x" * size}
    work = context.platform.call(host, "POST", path, headers=headers)
    context.reply = run(context, work)


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
