"""Steps for hosts whose paths to all runners are cut."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from streams import PROMPT, Stream, engines

from damaskjunction.routing import home_of
from damaskjunction.standins import Cut, DeployedFleet, deployments
from damaskjunction.standins.scenarios import run, start_and_configure


@given('a running "{name}" fleet whose hosts can be cut off from runners')
def start_cuttable(context, name):
    context.deployed = DeployedFleet(deployments.get(name), has_host_faults=True)
    run(context, start_and_configure(context.deployed))


async def cut_homes(deployed, how):
    hosts = deployed.hosts_by_id.values()
    homes = {home_of(runner, hosts).host_id for runner in engines(deployed)}
    for host_id in sorted(homes):
        await deployed.cut_paths(host_id, Cut(how))


@when('the homes of the engines are cut off from all runners by "{how}"')
def cut_off(context, how):
    run(context, cut_homes(context.deployed, how))


@when(
    "{n_tokens:d} tokens are requested through each host and, after {count:d}, the "
    'homes of the engines are cut off by "{how}"'
)
def cut_off_streams(context, n_tokens, count, how):
    async def act():
        deployed = context.deployed
        streams = [
            Stream(deployed, host_id, PROMPT, n_tokens)
            for host_id in deployed.hosts_by_id
        ]
        for stream in streams:
            await stream.wait_for_events(count)
        await cut_homes(deployed, how)
        return await asyncio.gather(*(stream.task for stream in streams))

    context.prompt, context.n_tokens = PROMPT, n_tokens
    context.answers = run(context, act())


@then("no host has recorded a crash of a runner")
def check_no_crashes(context):
    fleet = context.deployed.fleet
    for host_id in context.deployed.hosts_by_id:
        metrics = run(context, fleet.call(host_id, "GET", "/metrics")).body.decode()
        crashes = [line for line in metrics.splitlines() if "runner_crashes" in line]
        assert not crashes, (host_id, crashes)
