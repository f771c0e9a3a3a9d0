"""Steps of the features on slot allocation and routing."""

from __future__ import annotations

import slot_pool_machine
from behave import given, then, when

from damaskjunction.core import Address, EntryHost, WorkClass
from damaskjunction.routing import (
    BackendSpec,
    CallerLimits,
    GrantSlot,
    RefuseSlot,
    RevokeSlot,
    Route,
    RouteKind,
    RunnerVersions,
    SlotPool,
    SlotTicket,
    WeightedService,
    make_route_table,
    slot_homes,
)

GOAL_S = 0.8
MAX_WAIT_S = 2.0


def parse_runners(text):
    pairs = (part.split(":") for part in text.split(","))
    return {name: int(slots) for name, slots in pairs}


@given('a pool with runners "{runners}"')
def make_pool(context, runners):
    context.now_s = 100.0
    context.pool = SlotPool()
    context.slot_effects = []
    record_effects(
        context, context.pool.set_runners(parse_runners(runners), context.now_s)
    )


@given('the runners have versions "{versions}"')
def set_versions(context, versions):
    pairs = dict(part.split(":") for part in versions.split(","))
    slots_by_runner = context.pool.to_document()["slots_by_runner"]
    effects = context.pool.set_runners(
        slots_by_runner, context.now_s, RunnerVersions(pairs)
    )
    record_effects(context, effects)


@given('a pool with runners "{runners}" of a new home')
def make_new_pool(context, runners):
    make_pool(context, runners)
    context.pool.start_takeover(context.now_s)


def record_effects(context, effects):
    context.slot_effects += effects


def take_effects(context, kind):
    found = [effect for effect in context.slot_effects if isinstance(effect, kind)]
    context.slot_effects = [
        effect for effect in context.slot_effects if not isinstance(effect, kind)
    ]
    return found


def make_ticket(context, request_id, work_class, *, goal_s=GOAL_S, parts=(), **options):
    return SlotTicket(
        request_id,
        work_class,
        parts,
        (),
        context.now_s + MAX_WAIT_S,
        context.now_s + MAX_WAIT_S,
        context.now_s + goal_s,
        **options,
    )


def submit_requests(context, ids, work_class=WorkClass.ONLINE, **options):
    for request_id in ids.split(","):
        ticket = make_ticket(context, request_id, work_class, **options)
        record_effects(context, context.pool.submit(ticket, context.now_s))


@when('online requests "{ids}" ask for slots')
def submit_online(context, ids):
    submit_requests(context, ids)


@when('online requests "{ids}" ask for slots that must start at once')
def submit_urgent(context, ids):
    submit_requests(context, ids, goal_s=0.0)


@when('repeated online requests "{ids}" ask for slots')
def submit_repeated(context, ids):
    submit_requests(context, ids, is_repeated=True)


@when('prompts "{ids}" with parts "{parts}" ask for slots')
def submit_with_parts(context, ids, parts):
    submit_requests(context, ids, parts=tuple(parts.split(",")))


@when('online requests "{ids}" ask for slots at version "{version}"')
def submit_online_at_version(context, ids, version):
    submit_requests(context, ids, software_version=version)


@when('batch requests "{ids}" ask for slots at version "{version}"')
def submit_batch_at_version(context, ids, version):
    submit_requests(context, ids, WorkClass.BATCH, software_version=version)


@when('batch requests "{ids}" ask for slots')
def submit_batch(context, ids):
    submit_requests(context, ids, WorkClass.BATCH)


@when('batch request "{request_id}" holds a slot of "{runner}"')
def hold_slot(context, request_id, runner):
    held = make_ticket(context, request_id, WorkClass.BATCH)
    context.pool.adopt(held, runner, context.now_s)


@when('"{request_id}" is released')
def release_slot(context, request_id):
    record_effects(context, context.pool.release(request_id, context.now_s))


@when("the revoked slots are released")
def release_revoked(context):
    for request_id in context.revoked:
        release_slot(context, request_id)


@when("{duration_s:g} s passes")
def pass_time(context, duration_s):
    context.now_s += duration_s
    record_effects(context, context.pool.expire(context.now_s))


@when('runner "{runner}" reports {count:d} requests')
def report(context, runner, count):
    record_effects(context, context.pool.observe_report(runner, count, context.now_s))


@given('runner "{runner}" fails a request')
@when('runner "{runner}" fails a request')
def fail(context, runner):
    context.pool.record_failure(runner, context.now_s)


@then('"{ids}" are granted')
def check_granted(context, ids):
    granted = [effect.request_id for effect in take_effects(context, GrantSlot)]
    assert granted == ids.split(","), granted


@then("{count:d} are granted")
def check_count(context, count):
    granted = take_effects(context, GrantSlot)
    assert len(granted) == count, granted


@then("nothing is granted")
def check_none_granted(context):
    granted = take_effects(context, GrantSlot)
    assert not granted, granted


@then("nothing is refused")
def check_none_refused(context):
    refused = take_effects(context, RefuseSlot)
    assert not refused, refused


@then("{count:d} is revoked")
def check_revoked(context, count):
    context.revoked = [
        effect.request_id for effect in take_effects(context, RevokeSlot)
    ]
    assert len(context.revoked) == count, context.revoked


@then('"{ids}" are revoked')
def check_revoked_ids(context, ids):
    context.revoked = [
        effect.request_id for effect in take_effects(context, RevokeSlot)
    ]
    assert context.revoked == ids.split(","), context.revoked


@then('"{ids}" are refused with a retry delay')
def check_slots_refused(context, ids):
    refused = take_effects(context, RefuseSlot)
    assert [effect.request_id for effect in refused] == ids.split(","), refused
    assert all(effect.retry_after_s > 0 for effect in refused), refused


@then('none of them is sent to "{runner}"')
def check_excluded(context, runner):
    granted = take_effects(context, GrantSlot)
    assert granted
    assert all(effect.runner_id != runner for effect in granted), granted


@then('"{ids}" are granted on the same runner')
def check_same_runner(context, ids):
    granted = take_effects(context, GrantSlot)
    assert [effect.request_id for effect in granted] == ids.split(","), granted
    assert len({effect.runner_id for effect in granted}) == 1, granted


# Routes


def make_route(name, host, prefix, services="s:1"):
    parts = tuple(
        WeightedService(service, weight)
        for service, weight in parse_runners(services).items()
    )
    return Route(name, host, prefix, RouteKind.IDEMPOTENT, parts, 1.0, 0.1)


@given("routes")
def make_routes(context):
    routes = [
        make_route(row["name"], row["host"], row["prefix"], row["services"])
        for row in context.table
    ]
    services = [BackendSpec("s", "/health", 0)]
    context.routes = make_route_table(3, routes, services, CallerLimits())


@then('"{path}" at "{host}" takes route "{name}"')
def check_route(context, path, host, name):
    route = context.routes.find(host, path)
    assert (route.name if route else "none") == name, route


@then('of {count:d} requests of route "{name}" about {share:g} go to "{service}"')
def check_split(context, count, name, share, service):
    route = context.routes.find_by_name(name)
    step = (1 << 32) // count
    hits = sum(route.service_for(n * step) == service for n in range(count))
    assert abs(hits / count - share) < 0.02, hits


# Homes


def make_host(name):
    address = Address("127.0.0.1", 1)
    return EntryHost(name, "r1", "d1", address, address, address)


@given(
    'hosts "{weak_hosts}" with {few_cores:g} cores '
    'and "{strong_hosts}" with {many_cores:g} cores'
)
def make_hosts(context, weak_hosts, few_cores, strong_hosts, many_cores):
    context.power_by_host = {
        **dict.fromkeys(weak_hosts.split(","), few_cores),
        **dict.fromkeys(strong_hosts.split(","), many_cores),
    }


def homes_of(context, power_by_host):
    hosts = [make_host(name) for name in context.power_by_host]
    return [
        [host.host_id for host in slot_homes(f"s{number}", hosts, power_by_host)]
        for number in range(20)
    ]


@then('"{names}" come first as homes of any service')
def check_homes(context, names):
    expected = set(names.split(","))
    orders = homes_of(context, context.power_by_host)
    assert all(set(order[: len(expected)]) == expected for order in orders), orders


@then("with equal hosts the homes of services differ")
def check_homes_differ(context):
    orders = homes_of(context, dict.fromkeys(context.power_by_host, 1.0))
    assert len({order[0] for order in orders}) > 2, orders


@when('online request "{request_id}" that excludes "{runner}" asks for a slot')
def submit_online_excluding(context, request_id, runner):
    ticket = make_ticket(context, request_id, WorkClass.ONLINE)
    record_effects(
        context, context.pool.submit(ticket._replace(avoid=(runner,)), context.now_s)
    )


@when('the runners become "{runners}"')
def replace_runners(context, runners):
    record_effects(
        context, context.pool.set_runners(parse_runners(runners), context.now_s)
    )


@when("all runners leave")
def remove_runners(context):
    record_effects(context, context.pool.set_runners({}, context.now_s))


@when('batch request "{request_id}" that excludes "{runner}" asks for a slot')
def submit_excluding(context, request_id, runner):
    ticket = make_ticket(context, request_id, WorkClass.BATCH)._replace(avoid=(runner,))
    record_effects(context, context.pool.submit(ticket, context.now_s))


# Random runs


@then('{count:d} runs of the state machine with "{fault}" find a fault')
def check_machine_finds(context, count, fault):
    try:
        slot_pool_machine.run_machine(fault, count)
    except AssertionError:
        return
    raise AssertionError(f"injected fault was not found: {fault}")


@then('{count:d} runs of the state machine with "{fault}" find no fault')
def check_machine_clean(context, count, fault):
    slot_pool_machine.run_machine(fault, count)


@when('batch requests "{names}" ask for slots and leave the queue {count:d} times')
def ask_batch_repeatedly(context, names, count):
    for _ in range(count):
        for name in names.split(","):
            ticket = SlotTicket(name, WorkClass.BATCH, (), (), 0.0, context.now_s)
            record_effects(context, context.pool.submit(ticket, context.now_s))
            record_effects(context, context.pool.release(name, context.now_s))


@then("the pool keeps at most {count:d} entries of batch requests")
def check_batch_entries(context, count):
    n_entries = context.pool._waiting_batch.n_entries
    assert n_entries <= count, n_entries


@when(
    '{count:d} slots are asked for beside that of "{request_id}" and given back at '
    "once, as {kind} requests"
)
def hold_beside(context, count, request_id, kind):
    context.hold_times = hold_times(context)
    for number in range(1, count + 1):
        submit_requests(context, f"{request_id}~{number}", WorkClass(kind))
        release_slot(context, f"{request_id}~{number}")


def hold_times(context):
    document = context.pool.to_document()
    return document["hold_s"], document["batch_hold_s"]


@then("no time for which slots are held has changed")
def check_hold_times(context):
    assert hold_times(context) == context.hold_times, hold_times(context)


@then('"{request_id}" alone holds a slot')
def check_holds_alone(context, request_id):
    document = context.pool.to_document()
    assert document["n_online"] + document["n_batch"] == 1, document
    record_effects(context, context.pool.release(request_id, context.now_s))
    assert not any(context.pool.to_document()["used_by_runner"].values())
