"""Steps of the feature of membership and replication of the configuration."""

from __future__ import annotations

import asyncio
import json

import yaml
from behave import given, then, when

from damaskjunction.core import EntryHost
from damaskjunction.platform import entry_host_to_document
from damaskjunction.standins import DeployedFleet, allocate_addresses, deployments
from damaskjunction.standins.scenarios import run

START_S = 20.0
NEW_HOST = "lima-1-new"


@given('a running "{name}" fleet with datagram fault injection')
def start_with_datagram_faults(context, name):
    deployed = DeployedFleet(deployments.get(name), has_datagram_faults=True)
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


def other_hosts(context):
    return [name for name in context.names if name != context.name]


async def read_metric(context, name, series):
    response = await context.deployed.fleet.call(name, "GET", "/metrics", stall_s=2.0)
    lines = response.body.decode().splitlines()
    values = [line.split()[-1] for line in lines if line.split()[0] == series]
    return float(values[0]) if values else 0.0


async def wait_for_hosts(context, n_hosts, limit_s):
    fleet = context.deployed.fleet
    for name in context.deployed.hosts_by_id:

        async def has_all(name=name):
            return await read_metric(context, name, "membership_hosts") == n_hosts

        await fleet.wait_for(has_all, f"{name} sees {n_hosts} hosts", limit_s)


async def lists_host(context, name):
    """Return whether a host lists the host under test in its addresses.

    The list depends on the caller, so it is requested for 12 callers.
    """
    fleet = context.deployed.fleet
    address = str(fleet.addresses_by_name[context.name])
    for caller in range(12):
        data_centre = context.deployed.deployment.data_centres[caller % 3]
        target = f"/v1/addresses?caller={caller}&data_centre={data_centre}"
        response = await fleet.call(name, "GET", target)
        if response.status == 200 and address in response.to_json()["addresses"]:
            return True
    return False


async def read_own_status(context, name):
    response = await context.deployed.fleet.call(name, "GET", "/v1/status", stall_s=5.0)
    document = response.to_json()
    hosts = {host["host_id"]: host for host in document["hosts"]}
    return document, hosts[name]


async def apply_configuration(context, name, share, expected, editor="unknown"):
    deployed = context.deployed
    document = json.loads(json.dumps(deployed.deployment.configuration))
    document["workspaces"]["clubs"]["share"] = share
    return await deployed.fleet.call(
        name,
        "PUT",
        f"/v1/configuration?editor={editor}",
        body=yaml.safe_dump(document).encode(),
        headers={"If-Match": str(expected)},
    )


async def set_platform_faults(context, **faults):
    await context.deployed.fleet.call(
        "platform", "PUT", "/test/faults", document=faults
    )


async def wait_until_active(context, revision, limit_s):
    fleet = context.deployed.fleet
    for name in context.names:

        async def is_active(name=name):
            _, status = await read_own_status(context, name)
            return status["configuration_revision"] >= revision

        await fleet.wait_for(
            is_active, f"revision {revision} is active on {name}", limit_s
        )


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


@when("a configuration is applied right before the platform goes down")
def apply_then_outage(context):
    async def apply_then_stop_platform():
        response = await apply_configuration(
            context, context.names[0], 3, context.revision
        )
        await set_platform_faults(context, down=1)
        return response.to_json()["revision"]

    context.revision = run(context, apply_then_stop_platform())


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


@when("a configuration is applied while a host is frozen")
def apply_while_frozen(context):
    context.deployed.fleet.freeze(context.name)

    async def apply_one():
        response = await apply_configuration(
            context, context.names[0], 4, context.revision
        )
        assert response.status == 200, response
        return response.to_json()["revision"]

    context.revision = run(context, apply_one())


@when("the host is resumed and all hosts are restarted one after another")
def restart_all(context):
    fleet = context.deployed.fleet
    fleet.resume(context.name)
    run(context, wait_until_active(context, context.revision, 10.0))
    context.decreased_revisions = []

    async def restart_one(name):
        await fleet.kill(name)
        await fleet.restart(name)
        await fleet.wait_until_responding([name])
        async with asyncio.timeout(START_S):
            while True:
                _, status = await read_own_status(context, name)
                revision = status["configuration_revision"]
                if revision:
                    break
                await asyncio.sleep(0.02)
        if revision < context.revision:
            context.decreased_revisions.append((name, revision))

    for name in context.names:
        run(context, restart_one(name))


@when(
    "all hosts are killed and restarted at once, the platform slowed by {delay_s:g} s"
)
def restart_all_at_once(context, delay_s):
    fleet = context.deployed.fleet

    async def restart_hosts():
        for name in context.names:
            await fleet.kill(name)
        await set_platform_faults(context, slow_s=delay_s)
        for name in context.names:
            await fleet.restart(name)

    run(context, restart_hosts())


@when(
    '"{editor}" and "{rival}" apply different configurations at once through two hosts'
)
def apply_concurrently(context, editor, rival):
    async def apply_both():
        return await asyncio.gather(
            apply_configuration(context, context.names[0], 5, context.revision, editor),
            apply_configuration(context, context.names[1], 6, context.revision, rival),
        )

    responses = run(context, apply_both())
    context.responses_by_editor = dict(zip((editor, rival), responses, strict=True))


@then("one is accepted and the other gets the winner's name and revision")
def check_conflict(context):
    statuses = {
        name: response.status for name, response in context.responses_by_editor.items()
    }
    winner = min(statuses, key=statuses.get)
    loser = max(statuses, key=statuses.get)
    assert (statuses[winner], statuses[loser]) == (200, 409), statuses
    context.revision = context.responses_by_editor[winner].to_json()["revision"]
    error = context.responses_by_editor[loser].to_json()["error"]
    assert error["editor"] == winner, error
    assert error["revision"] == context.revision, error


@then("within {limit_s:d} s the configuration is active on every host")
def check_active(context, limit_s):
    run(context, wait_until_active(context, context.revision, limit_s))


@then("within {limit_s:d} s the winner's configuration is active on every host")
def check_winner_active(context, limit_s):
    run(context, wait_until_active(context, context.revision, limit_s))


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


@then("no host's revision ever decreased")
def check_never_decreased(context):
    assert not context.decreased_revisions, context.decreased_revisions


async def wait_for_count(context, text, limit_s):
    n_active, n_hosts = map(int, text.split(" of "))
    found = {}

    async def is_reported():
        document, _ = await read_own_status(context, context.names[0])
        found.update(document)
        counts = (document["n_in_force"], document["n_hosts"])
        return counts == (n_active, n_hosts)

    await context.deployed.fleet.wait_for(
        is_reported, f"status reports {text}", limit_s
    )
    return found


@then('within {limit_s:d} s status reports "{text}" and names the frozen host')
def check_missing(context, limit_s, text):
    document = run(context, wait_for_count(context, text, limit_s))
    assert document["lacking"] == [context.name], document


@then('within {limit_s:d} s status reports "{text}"')
def check_count(context, limit_s, text):
    document = run(context, wait_for_count(context, text, limit_s))
    assert not document["is_pending"], document


@when('a configuration is applied with the expected revision "{text}"')
def apply_with_expected(context, text):
    call = apply_configuration(context, context.names[0], 2, text)
    context.response = run(context, call)


@then("it is refused with status {status:d}")
def check_refused(context, status):
    assert context.response.status == status, context.response
