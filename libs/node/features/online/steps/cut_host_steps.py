"""Steps for hosts whose paths to all runners are cut."""

from __future__ import annotations

from behave import given, when
from streams import engines

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
