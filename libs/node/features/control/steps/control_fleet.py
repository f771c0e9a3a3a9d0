"""Calls that the steps on membership and on the configuration share."""

from __future__ import annotations

import json

import yaml

START_S = 20.0


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
