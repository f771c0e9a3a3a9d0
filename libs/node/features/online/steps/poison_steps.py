"""Steps for requests that crash runners, and for broken connections without a crash."""

from __future__ import annotations

from behave import then, when
from streams import PROMPT, Stream, engines, nth_host_id

from damaskjunction.standins import CRASH_MARK, Mode
from damaskjunction.standins.scenarios import assert_complete, generate, run


@when(
    "{count:d} streams of {n_tokens:d} tokens run while a poison request is sent "
    "{n_sends:d} times to each host"
)
def send_poison_requests(context, count, n_tokens, n_sends):
    async def act():
        deployed = context.deployed
        hosts = list(deployed.hosts_by_id)
        streams = [
            Stream(deployed, hosts[number % len(hosts)], PROMPT, n_tokens)
            for number in range(count)
        ]
        for stream in streams:
            await stream.wait_for_events(5)
        for host_id in hosts * n_sends:
            answer = await generate(deployed, host_id, CRASH_MARK, 20)
            assert answer.status != 200, answer
        return [await stream.task for stream in streams]

    context.prompt, context.n_tokens = PROMPT, n_tokens
    context.answers = run(context, act())


@then("at most {bound:d} runners are lost")
def check_lost_runners(context, bound):
    names = [runner.runner_id for runner in engines(context.deployed)]
    lost = [name for name in names if not context.deployed.fleet.is_running(name)]
    assert len(lost) <= bound, lost


@when("a host is restarted and the poison request is sent to it")
def restart_and_send(context):
    async def act():
        fleet = context.deployed.fleet
        host_id = nth_host_id(context, 2)
        await fleet.kill(host_id)
        await fleet.restart(host_id)
        await fleet.wait_until_responding([host_id])

        async def is_ready():
            dump = (await fleet.call(host_id, "GET", "/v1/dump")).to_json()
            status = (await generate(context.deployed, host_id, "up?", 1)).status
            return bool(status == 200 and dump["quarantine"]["convicted_age_s"])

        await fleet.wait_for(is_ready, f"{host_id} serves and has the verdict")
        return await generate(context.deployed, host_id, CRASH_MARK, 20)

    context.answers = [run(context, act())]


@when(
    "{n_tokens:d} tokens are requested {n_times:d} times, each aborted by the "
    "network after {count:d}"
)
def abort_connections(context, n_tokens, n_times, count):
    async def act():
        deployed = context.deployed
        for _ in range(n_times):
            stream = Stream(deployed, nth_host_id(context, 1), PROMPT, n_tokens)
            await stream.wait_for_events(count)
            for mode in (Mode.CLOSED, Mode.PASS):
                for runner in engines(deployed):
                    await deployed.set_mode(runner.runner_id, mode)
            assert_complete(await stream.task, PROMPT, n_tokens)

    run(context, act())


@then("no request is suspect or convicted")
def check_no_suspects(context):
    for host_id in context.deployed.hosts_by_id:
        call = context.deployed.fleet.call(host_id, "GET", "/v1/dump")
        section = run(context, call).to_json()["quarantine"]
        assert section == {"convicted_age_s": {}, "n_suspects": 0}, section
