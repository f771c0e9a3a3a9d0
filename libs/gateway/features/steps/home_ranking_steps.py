"""Steps of the feature on the ranking of hosts as homes of slots."""

from __future__ import annotations

from behave import given, then, when
from fake_homes import make_host

from damaskjunction.core import Address, HostState, Runner, ServiceKind
from damaskjunction.gateway.slots.home_ranking import HomeRanking
from damaskjunction.node import HostView
from damaskjunction.routing import slot_homes


@given('the host "{own}" with the hosts "{others}" and the homes of {count:d} services')
def rank_hosts(context, own, others, count):
    hosts = [make_host(number, name) for number, name in enumerate(others.split(","))]
    context.view = HostView(make_host(99, own))
    apply_hosts(context, [context.view.own, *hosts])
    context.services = [f"s{number}" for number in range(count)]
    context.ranking = HomeRanking(context.view)
    context.former_homes = homes(context)


def homes(context):
    return [context.ranking.homes_of(service) for service in context.services]


def apply_hosts(context, hosts):
    context.hosts_by_id = {host.host_id: host for host in hosts}
    context.view.apply_hosts(hosts)


@when('the new host "{name}" joins')
def join(context, name):
    apply_hosts(context, [*context.hosts_by_id.values(), make_host(50, name)])


@when('the known host "{name}" is gone')
def remove(context, name):
    hosts = context.hosts_by_id.values()
    apply_hosts(context, [host for host in hosts if host.host_id != name])


@when('the known host "{name}" leaves')
def leave(context, name):
    leaving = context.hosts_by_id[name]._replace(state=HostState.LEAVING)
    apply_hosts(context, {**context.hosts_by_id, name: leaving}.values())


@when('the known host "{name}" is stronger')
def strengthen(context, name):
    context.view.apply_powers({name: 4.0})


@when('the known host "{name}" drains')
def drain(context, name):
    assert context.view.own.host_id == name
    context.view.start_draining()


@when("a runner becomes known")
def add_runner(context):
    address = Address("10.0.0.200", 1)
    runner = Runner("r1", "r", "z", address, ServiceKind.ENGINE, context.services[0])
    context.view.apply_runners([runner])


@then("the homes are those of the hosts that are known now")
def check_homes(context):
    view = context.view
    for service, ranked in zip(context.services, homes(context), strict=True):
        expected = slot_homes(service, view.serving_hosts(), view.power_by_host)
        assert ranked == expected, (service, ranked, expected)
        is_own = expected[0].host_id == view.own.host_id
        assert context.ranking.is_own(service) == is_own, service


@then("the home of a service is another one")
def check_changed(context):
    former_ids = [ranked[0].host_id for ranked in context.former_homes]
    assert former_ids != [ranked[0].host_id for ranked in homes(context)]


@then("the hosts were not ranked anew")
def check_same(context):
    for former, ranked in zip(context.former_homes, homes(context), strict=True):
        assert former is ranked
