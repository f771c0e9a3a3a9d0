"""Steps of the feature on which hosts see one another."""

from __future__ import annotations

import asyncio
import json

from behave import given, then, when
from control_fleet import (
    START_S,
    lists_host,
    other_hosts,
    read_metric,
    set_platform_faults,
    wait_for_hosts,
)

from damaskjunction.core import EntryHost
from damaskjunction.platform import entry_host_to_document
from damaskjunction.standins import DeployedFleet, allocate_addresses, deployments
from damaskjunction.standins.scenarios import run

NEW_HOST = "lima-1-new"


@given('a running "{name}" fleet with datagram fault injection')
def start_with_datagram_faults(context, name):
    deployed = DeployedFleet(deployments.get(name), has_host_faults=True)
    context.deployed = deployed

    async def start():
        await deployed.start()
        response = await deployed.apply_configuration()
        context.revision = response.to_json()["revision"]
        await deployed.wait_until_serving(context.revision)
        n_hosts = len(deployed.hosts_by_id)
        await wait_for_hosts(context, n_hosts, START_S)

    run(context, start())
    context.names = list(deployed.hosts_by_id)
    context.name = context.names[4]
    context.n_lines_by_name = {
        name: len(deployed.fleet.log_of(name).splitlines()) for name in context.names
    }


@given("the host list lags by {lag_s:d} s")
def delay_host_list(context, lag_s):
    run(context, set_platform_faults(context, hosts_lag_s=lag_s))


@when("a host is killed")
def kill(context):
    run(context, context.deployed.fleet.kill(context.name))


@when("a host is frozen until the others declare it dead")
def freeze(context):
    context.deployed.fleet.freeze(context.name)

    async def is_declared_dead():
        n_hosts = [
            await read_metric(context, name, "membership_hosts")
            for name in other_hosts(context)
        ]
        return all(n == len(context.names) - 1 for n in n_hosts)

    run(
        context,
        context.deployed.fleet.wait_for(is_declared_dead, "it is declared dead", 30),
    )


@when("it is resumed")
def resume(context):
    context.deployed.fleet.resume(context.name)


@when("a host gets SIGTERM")
def terminate(context):
    context.stopping = context.asyncio_runner.get_loop().create_task(
        context.deployed.fleet.stop(context.name)
    )
    run(context, asyncio.sleep(0))


@when("datagrams from the second host to the third are blocked for {duration_s:d} s")
def block_datagrams(context, duration_s):
    source = str(context.deployed.hosts_by_id[context.names[1]].probe)
    target = context.names[2]
    run(context, context.deployed.set_datagram_faults(target, cut_from=[source]))
    run(context, asyncio.sleep(duration_s))


@when("{percent:d} percent of datagrams are lost")
def drop_datagrams(context, percent):
    for name in context.names:
        run(context, context.deployed.set_datagram_faults(name, loss=percent / 100))


@when("a host is killed and restarted")
def restart(context):
    fleet = context.deployed.fleet
    run(context, fleet.kill(context.name))
    run(context, fleet.restart(context.name))


@when("a host unknown to the fleet starts without seeds")
def start_unknown(context):
    deployed = context.deployed
    caller, peer, probe, control = allocate_addresses(4)
    host = EntryHost(NEW_HOST, "lima", "lima-1", caller, peer, probe)
    deployed.fleet.addresses_by_name[NEW_HOST] = caller
    deployed.fleet.addresses_by_name[f"{NEW_HOST}-control"] = control
    document = {
        **entry_host_to_document(host),
        "platform": str(deployed.fleet.addresses_by_name["platform"]),
    }
    del document["state"]
    context.name = NEW_HOST
    context.new_host = host
    run(context, deployed.start_host(host, document))
    run(context, deployed.fleet.wait_until_responding([NEW_HOST]))


@when("the platform recovers with it in the host list")
def end_outage(context):
    deployed = context.deployed
    deployed.hosts_by_id[NEW_HOST] = context.new_host
    run(context, set_platform_faults(context, down=0))
    run(context, deployed.publish_hosts())


@then("within {limit_s:d} s no other host lists it in its addresses")
def check_not_listed(context, limit_s):
    async def is_unlisted():
        names = [name for name in context.names if name != context.name]
        return not any([await lists_host(context, name) for name in names])

    run(
        context,
        context.deployed.fleet.wait_for(is_unlisted, "it is not listed", limit_s),
    )


@then("within {limit_s:d} s every host has {n_hosts:d} hosts in its view")
def check_views(context, limit_s, n_hosts):
    run(context, wait_for_hosts(context, n_hosts, limit_s))


@then("no other host was ever declared dead")
def check_others_alive(context):
    check_none_declared_dead(context, context.name)


@then("no host was ever declared dead")
def check_all_alive(context):
    check_none_declared_dead(context, "")


def check_none_declared_dead(context, except_id):
    for name in context.names:
        lines = context.deployed.fleet.log_of(name).splitlines()
        for line in lines[context.n_lines_by_name[name] :]:
            if '"host gone"' in line:
                assert json.loads(line)["host"] == except_id, (name, line)


@then("it exits with code {code:d}")
def check_exit(context, code):
    async def ended():
        return await context.stopping

    assert run(context, ended()) == code


@then('it responds to "{target}" with status {status:d}')
def check_status_code(context, target, status):
    response = run(context, context.deployed.fleet.call(context.name, "GET", target))
    assert response.status == status, response
