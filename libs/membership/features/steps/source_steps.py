"""Steps of the feature on sources of the store's change feed."""

from __future__ import annotations

from behave import given, then, when
from simulated_network import make_host

from damaskjunction.membership import choose_feed_sources


def rank_sources(context, data_centre):
    return [
        [
            source.host_id
            for source in choose_feed_sources(
                host, context.hosts, context.power_by_host
            )
        ]
        for host in context.hosts
        if host.data_centre == data_centre
    ]


@given('{count:d} hosts in each of the data centres "{names}"')
def make_hosts(context, count, names):
    context.power_by_host = {}
    context.hosts = [
        make_host(number, f"{name}-{number}")._replace(data_centre=name)
        for name in names.split(",")
        for number in range(count)
    ]


@then('the hosts of "{name}" have the same first three sources, all of "{same}"')
def check_local(context, name, same):
    preferred = {tuple(sources[:3]) for sources in rank_sources(context, name)}
    assert len(preferred) == 1, preferred
    assert all(source.startswith(f"{same}-") for source in preferred.pop())


@then('the first sources of "{one}" and "{other}" differ')
def check_preferred_differ(context, one, other):
    assert rank_sources(context, one)[0][0] != rank_sources(context, other)[0][0]


@then('after its three local sources each host of "{name}" has two of "{other}"')
def check_remote(context, name, other):
    for sources in rank_sources(context, name):
        remote = sources[3:]
        assert len(remote) == 2, sources
        assert all(source.startswith(f"{other}-") for source in remote), sources


@when('the first source of "{name}" is removed')
def remove_first(context, name):
    first, context.second, *_ = rank_sources(context, name)[0]
    context.hosts = [host for host in context.hosts if host.host_id != first]


@then('the hosts of "{name}" have the former second source first')
def check_preferred(context, name):
    preferred = {sources[0] for sources in rank_sources(context, name)}
    assert preferred == {context.second}, preferred


@when('the hosts "{names}" have {strong:g} cores and all others {weak:g}')
def set_powers(context, names, strong, weak):
    context.power_by_host = {
        host.host_id: strong if host.host_id in names.split(",") else weak
        for host in context.hosts
    }


@then('the hosts of "{name}" have two of "{strong}" first')
def check_strong_first(context, name, strong):
    for sources in rank_sources(context, name):
        assert set(sources[:2]) == set(strong.split(",")), sources


@then('all hosts of "{name}" still have three sources of "{same}" first')
def check_local_first(context, name, same):
    check_local(context, name, same)
