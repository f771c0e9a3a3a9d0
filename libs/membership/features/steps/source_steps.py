"""Steps of the feature on sources of the store's change feed."""

from __future__ import annotations

from behave import given, then, when
from simulated_network import make_host

from damaskjunction.membership import news_sources


def sources_of(context, data_centre):
    return [
        [source.host_id for source in news_sources(host, context.hosts)]
        for host in context.hosts
        if host.data_centre == data_centre
    ]


@given('{count:d} hosts in each of the data centres "{names}"')
def make_hosts(context, count, names):
    context.hosts = [
        make_host(number, f"{name}-{number}")._replace(data_centre=name)
        for name in names.split(",")
        for number in range(count)
    ]


@then('the hosts of "{name}" have the same first three sources, all of "{same}"')
def check_same(context, name, same):
    firsts = {tuple(sources[:3]) for sources in sources_of(context, name)}
    assert len(firsts) == 1, firsts
    assert all(source.startswith(f"{same}-") for source in firsts.pop())


@then('the first sources of "{one}" and "{other}" differ')
def check_differ(context, one, other):
    assert sources_of(context, one)[0][0] != sources_of(context, other)[0][0]


@then('after its three local sources each host of "{name}" has two of "{other}"')
def check_far(context, name, other):
    for sources in sources_of(context, name):
        far = sources[3:]
        assert len(far) == 2, sources
        assert all(source.startswith(f"{other}-") for source in far), sources


@when('the first source of "{name}" is removed')
def remove_first(context, name):
    first, context.second, *_ = sources_of(context, name)[0]
    context.hosts = [host for host in context.hosts if host.host_id != first]


@then('the hosts of "{name}" have the former second source first')
def check_moved(context, name):
    firsts = {sources[0] for sources in sources_of(context, name)}
    assert firsts == {context.second}, firsts
