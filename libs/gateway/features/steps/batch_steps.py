"""Steps on batch jobs."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import clear_stream_faults, run, set_faults
from platform_fleet import ENGINE

from damaskjunction.core import WorkClass
from damaskjunction.routing import slot_homes
from damaskjunction.standins import Mode
from damaskjunction.wire import PeerLinks, SlotAsk

STEP_TIMEOUT_S = 40.0
QUIET_PERIOD_S = 0.5


@given("no item can succeed")
def fail_items(context):
    set_faults(context, "impossible", 1)


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


def home_of_engines(context):
    host = next(iter(context.platform.hosts.values()))
    view = host.view
    return slot_homes(ENGINE, view.serving_hosts(), view.power_by_host)[0]


@when('the job "{job_id}" of {count:d} items is submitted at the home of its service')
def submit_at_home(context, job_id, count):
    home = home_of_engines(context)
    submit(context, job_id, count, home.host_id)

    def is_waiting():
        slots = context.platform.hosts[home.host_id].dump.to_document()["slots"]
        return slots.get(ENGINE, {}).get("n_batch_waiting") == count

    run(context, context.platform.wait_for(is_waiting))


@when('another host asks for slots for the same {count:d} items of "{job_id}"')
def ask_for_same_items(context, count, job_id):
    links = PeerLinks(context.platform.timers)
    peer = home_of_engines(context).peer

    async def ask(item_id):
        slot_ask = SlotAsk(item_id, ENGINE, WorkClass.BATCH, (), (), 5.0, 5.0)
        call = links.call(peer, "batch", slot_ask)
        await anext(call)
        await call.aclose()

    async def work():
        for number in range(count):
            await ask(f"{job_id}-{number}")
        links.close()

    run(context, work())


@when('an engine "{name}" joins')
def join_engine(context, name):
    run(context, context.platform.add_runner(name, ENGINE))
