"""Steps of the feature on failure detection and gossip."""

from __future__ import annotations

from behave import given, then, when
from simulated_network import SimulatedNetwork, make_host

from damaskjunction.core import HostState
from damaskjunction.membership import MemberState

CONVERGENCE_S = 10.0  # simulated time for the views to converge


def record_deaths(context):
    """Record which hosts the running hosts have declared dead so far."""
    network = context.network
    for viewer in network.viewers():
        members = network.detectors_by_id[viewer].member_table.members_by_id
        for host_id, member in members.items():
            if member.is_dead:
                context.deaths.add((viewer, host_id))


def pass_time(context, duration_s):
    for _ in range(int(duration_s * 10)):
        context.network.timers.advance(0.1)
        record_deaths(context)


def is_absent(context, host_id):
    network = context.network
    return all(
        host_id not in network.live_ids(viewer)
        for viewer in network.viewers()
        if viewer != host_id
    )


def is_present(context, host_id):
    network = context.network
    return all(host_id in network.live_ids(viewer) for viewer in network.viewers())


@given("{n_hosts:d} hosts with seed {seed:d}")
def make_network(context, n_hosts, seed):
    context.network = SimulatedNetwork(n_hosts, seed)
    context.deaths = set()
    pass_time(context, CONVERGENCE_S)
    context.network.n_bytes = 0
    context.begin_s = context.network.timers.now()


@when('host "{host_id}" is killed')
def kill(context, host_id):
    context.host_id = host_id
    context.network.kill(host_id)


@when("{n_hosts:d} hosts are killed at once")
def kill_many(context, n_hosts):
    for host in context.network.hosts[:n_hosts]:
        context.network.kill(host.host_id)


@when("{percent:d} percent of datagrams are lost")
def set_loss_rate(context, percent):
    context.network.loss_rate = percent / 100


@when("{duration_s:d} s pass")
def let_time_pass(context, duration_s):
    pass_time(context, duration_s)


@when('host "{host_id}" is frozen for {duration_s:d} s')
def freeze(context, host_id, duration_s):
    context.host_id = host_id
    context.network.freeze(host_id)
    pass_time(context, duration_s)


@when("it is resumed")
def resume(context):
    context.network.resume(context.host_id)


@when('datagrams from "{source}" to "{target}" are dropped')
def block(context, source, target):
    context.network.block([source], [target])


@when('host "{host_id}" is partitioned from all others')
def isolate(context, host_id):
    context.host_id = host_id
    others = [host.host_id for host in context.network.hosts if host.host_id != host_id]
    context.network.block([host_id], others)
    context.network.block(others, [host_id])


@when('host "{host_id}" announces that it is leaving')
def leave(context, host_id):
    context.host_id = host_id
    context.network.leave(host_id)


@when("it is started again after {delay_s:d} s")
def start_again(context, delay_s):
    pass_time(context, delay_s)
    number = [host.host_id for host in context.network.hosts].index(context.host_id)
    context.network.start(context.network.hosts[number])


@when('host "{old}" is replaced by "{new}" at its address')
def replace(context, old, new):
    number = [host.host_id for host in context.network.hosts].index(old)
    context.network.kill(old)
    context.network.start(make_host(number, new))


@when("the network is partitioned into halves for {duration_s:d} s")
def partition(context, duration_s):
    names = [host.host_id for host in context.network.hosts]
    half = len(names) // 2
    context.halves = (names[:half], names[half:])
    context.network.block(*context.halves)
    context.network.block(*reversed(context.halves))
    pass_time(context, duration_s)


@when("the partition heals")
def heal_partition(context):
    context.network.blocked_paths.clear()


@when('the host list marks "{host_id}" as leaving')
def mark_leaving_in_list(context, host_id):
    context.host_id = host_id
    hosts = [
        host._replace(state=HostState.LEAVING) if host.host_id == host_id else host
        for host in context.network.hosts
    ]
    context.network.publish_host_list(hosts)


@when('the host list omits "{host_id}"')
def omit_from_list(context, host_id):
    hosts = [host for host in context.network.hosts if host.host_id != host_id]
    context.network.publish_host_list(hosts)


@when('the host list contains "{host_id}", which is not running')
def list_stopped_host(context, host_id):
    context.host_id = host_id
    context.network.publish_host_list([*context.network.hosts, make_host(999, host_id)])


@when('host "{host_id}" starts without a configuration')
def start_unconfigured(context, host_id):
    context.host_id = host_id
    context.network.start(make_host(500, host_id), is_ready=False)


@when("it gets a configuration")
def give_configuration(context):
    detector = context.network.detectors_by_id[context.host_id]
    detector.set_active_revisions(1, 1, context.network.timers.now())


@then("it is absent from every view within {limit_s:d} s")
def check_becomes_absent(context, limit_s):
    context.network.wait_until(lambda: is_absent(context, context.host_id), limit_s)


@then("no host selects it after at most {limit_s:d} s")
def check_not_selected(context, limit_s):
    context.network.wait_until(lambda: is_absent(context, context.host_id), limit_s)


@then('"{host_id}" is absent from every view within {limit_s:d} s')
def check_named_becomes_absent(context, host_id, limit_s):
    context.network.wait_until(lambda: is_absent(context, host_id), limit_s)


@then("it is absent from the views of the others")
def check_absent(context):
    assert is_absent(context, context.host_id)


@then("it is in every view within {limit_s:d} s")
def check_becomes_present(context, limit_s):
    context.network.wait_until(lambda: is_present(context, context.host_id), limit_s)


@then('"{host_id}" is in every view')
def check_named_present(context, host_id):
    assert is_present(context, host_id)


@then("no host was ever declared dead")
def check_no_death(context):
    assert not context.deaths, sorted(context.deaths)


@then("no other host was ever declared dead")
def check_no_other_death(context):
    unexpected = {pair for pair in context.deaths if pair[1] != context.host_id}
    assert not unexpected, sorted(unexpected)


@then("it never declared a host dead")
def check_no_death_by(context):
    unexpected = {pair for pair in context.deaths if pair[0] == context.host_id}
    assert not unexpected, sorted(unexpected)


@then("it still has {n_hosts:d} hosts in its view")
def check_size(context, n_hosts):
    assert len(context.network.live_ids(context.host_id)) == n_hosts


@then("every view has {n_hosts:d} hosts within {limit_s:d} s")
def check_sizes(context, n_hosts, limit_s):
    network = context.network
    network.wait_until(
        lambda: all(len(network.live_ids(v)) == n_hosts for v in network.viewers()),
        limit_s,
    )


@then("every view contains its new incarnation within {limit_s:d} s")
def check_incarnation(context, limit_s):
    network = context.network
    own = network.detectors_by_id[context.host_id].own

    def is_known():
        others = [name for name in network.viewers() if name != context.host_id]
        members = [
            network.detectors_by_id[name].member_table.members_by_id[context.host_id]
            for name in others
        ]
        return all(
            member.incarnation >= own.incarnation
            and member.state is MemberState.ALIVE
            and not member.is_dead
            for member in members
        )

    network.wait_until(is_known, limit_s)


@then("the view of each host contains exactly its own half")
def check_halves(context):
    for half in context.halves:
        for viewer in half:
            assert context.network.live_ids(viewer) == set(half), viewer


@then("no datagram was larger than {limit:d} bytes")
def check_datagrams(context, limit):
    assert context.network.max_datagram_bytes <= limit, (
        context.network.max_datagram_bytes
    )


@then("the hosts sent at most {limit:d} bytes a second on average")
def check_rate(context, limit):
    network = context.network
    duration_s = network.timers.now() - context.begin_s
    rate = network.n_bytes / duration_s / len(network.detectors_by_id)
    assert rate <= limit, rate
