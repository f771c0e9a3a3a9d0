"""Steps of the feature on the limits of workspaces."""

from __future__ import annotations

import asyncio

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import WorkspaceSpec
from damaskjunction.gateway.quotas.quota_gate import QuotaGate
from damaskjunction.routing import QuotaBounds, quota_of


@given(
    'the workspace "{name}" is limited to {rate_per_s:g} requests a second and '
    "{burst:g} at once"
)
def limit_workspace(context, name, rate_per_s, burst):
    context.workspace = WorkspaceSpec(name, requests_per_s=rate_per_s, burst=burst)
    context.refusals = []
    set_workspaces(context)
    run(context, context.platform.wait_for(lambda: are_settled(context)))


def set_workspaces(context):
    workspaces = {context.workspace.name: context.workspace}
    for host in context.platform.hosts.values():
        table = host.state.table._replace(workspaces_by_name=workspaces)
        host.state.table = table


def are_settled(context):
    hosts = context.platform.hosts.values()
    return all(host.quota_gate.to_document()["is_settled"] for host in hosts)


def home_of(context):
    host = next(iter(context.platform.hosts.values()))
    return host.state.homes.homes_of(f"quota/{context.workspace.name}")[0].host_id


async def admit(context, name, number):
    gate = context.platform.hosts[name].quota_gate
    refusal = await gate.admit(context.workspace, f"q{number}")
    context.refusals.append(refusal)
    return refusal


def send(context, n_requests, names):
    async def work():
        return await asyncio.gather(
            *(
                admit(context, names[number % len(names)], number)
                for number in range(n_requests)
            )
        )

    context.latest = run(context, work())


@when('{n_requests:d} requests of "w" come at "{names}"')
def send_to_hosts(context, n_requests, names):
    send(context, n_requests, names.split(","))


@when('{n_requests:d} requests of "w" come at the other host')
def send_to_others(context, n_requests):
    home = home_of(context)
    send(context, n_requests, [n for n in context.platform.hosts if n != home])


@when('the host that counts for "w" is killed')
def kill_home(context):
    run(context, context.platform.kill_host(home_of(context)))


@when('requests of "w" come at the other hosts until one is admitted at each')
def send_until_admitted(context):
    async def work():
        for name in context.platform.hosts:
            number = 0
            while await admit(context, name, number) is not None:
                number += 1
                await asyncio.sleep(0.05)

    run(context, work())


@given('the host that counts for "w" runs a build without limits')
def start_former_build(context):
    name, platform = home_of(context), context.platform
    register = QuotaGate.register

    async def work():
        await platform.kill_host(name)
        QuotaGate.register = lambda gate, handlers: None
        try:
            await platform.start_host(name)
        finally:
            QuotaGate.register = register
        await platform.wait_for(
            lambda: all(
                len(host.view.serving_hosts()) == len(platform.hosts)
                for host in platform.hosts.values()
            )
        )

    run(context, work())
    set_workspaces(context)


def n_admitted(refusals):
    return sum(refusal is None for refusal in refusals)


def max_in_window(context):
    return quota_of(context.workspace, QuotaBounds()).max_in_window


@then("at least {count:d} of them are admitted, and no more than a window allows")
def check_admitted(context, count):
    assert count <= n_admitted(context.latest) <= max_in_window(context), context.latest


@then("no more than a window allows are admitted in all")
def check_admitted_in_all(context):
    found = n_admitted(context.refusals)
    assert found <= max_in_window(context), found


@then(
    "the others get status {status:d} and return within {limit_s:g} s, "
    "at different times"
)
def check_refused(context, status, limit_s):
    refused = [refusal for refusal in context.latest if refusal is not None]
    assert {refusal.status for refusal in refused} == {status}, refused
    times = [float(refusal.headers["retry-after"]) for refusal in refused]
    assert 0 < min(times) <= max(times) <= limit_s, times
    assert len(set(times)) > len(times) / 2, times


@then('the dump of the host that counts for "w" has as many granted and refused')
def check_dump(context):
    host = context.platform.hosts[home_of(context)]
    counts = host.quota_gate.to_document()["workspaces"]["w"]
    n_granted = n_admitted(context.latest)
    expected = (n_granted, len(context.latest) - n_granted)
    assert (counts["n_granted"], counts["n_refused"]) == expected, counts


@then("all of them are admitted, and no host was asked")
def check_unlimited(context):
    assert n_admitted(context.latest) == len(context.latest)
    for host in context.platform.hosts.values():
        assert "permit_asks" not in host.metrics.to_text()
