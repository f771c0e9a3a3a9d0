"""Steps of soak.feature about the schedules of faults."""

from __future__ import annotations

from behave import then

from damaskjunction.lab.soak import (
    STORE_FAULTS,
    ScheduledFault,
    faults,
    kills_all_hosts,
    make_schedule,
    plan_release,
    variant,
)

FIRST_VERSIONS = {f"llm{number}": "v1" for number in range(4)}


def takes_store_away(fault):
    if fault.kind == "hosts restarted in turn":
        return variant(fault, 2) > 0
    name, _ = STORE_FAULTS[variant(fault, len(STORE_FAULTS))]
    return fault.kind == "store troubled" and name == "down"


def has_two_versions(schedule):
    releases = [fault for fault in schedule if fault.kind == "engines released"]
    versions = dict(FIRST_VERSIONS)
    newest = 1
    n_mixed = 0
    for fault in releases:
        release = plan_release(versions, newest, fault)
        newest = release.number
        versions |= dict.fromkeys(release.engines, release.version)
        n_mixed += len(set(versions.values())) > 1
    return n_mixed > 0


IS_BROUGHT_BY_NAME = {
    "a kill of all hosts at once": lambda schedule: any(
        fault.kind == "all hosts killed" and kills_all_hosts(fault)
        for fault in schedule
    ),
    "a time in which the store is away": lambda schedule: any(
        map(takes_store_away, schedule)
    ),
    "engines of two versions of software": has_two_versions,
}


def make_schedules(seconds):
    kinds = sorted(faults)
    return [make_schedule(seed, seconds, kinds, lull_s=12.0) for seed in range(1, 51)]


@then("seed {one:d} always gives the same schedule, and seed {other:d} a different one")
def check_schedule(context, one, other):
    kinds = ("a", "b", "c")
    schedule = make_schedule(one, 30.0, kinds)
    assert schedule == make_schedule(one, 30.0, kinds)
    assert schedule != make_schedule(other, 30.0, kinds)


@then(
    "at least {count:d} of the 50 schedules of {seconds:d} s for seeds 1 to 50 bring "
    "each kind of fault"
)
def check_kinds(context, count, seconds):
    schedules = make_schedules(seconds)
    kinds = [{fault.kind for fault in schedule} for schedule in schedules]
    n_by_kind = {kind: sum(kind in found for found in kinds) for kind in faults}
    assert min(n_by_kind.values()) >= count, n_by_kind


@then(
    "at least {count:d} of the 50 schedules of {seconds:d} s for seeds 1 to 50 bring "
    "{what}"
)
def check_brought(context, count, seconds, what):
    n_brought = sum(map(IS_BROUGHT_BY_NAME[what], make_schedules(seconds)))
    assert n_brought >= count, n_brought


@then('engines of versions "{before}" become "{after}" by the next release')
def check_release(context, before, after):
    versions = dict(zip(FIRST_VERSIONS, before.split(), strict=True))
    newest = max(int(version.removeprefix("v")) for version in versions.values())
    fault = ScheduledFault(1.0, "engines released", 1.0, 0.001)
    release = plan_release(versions, newest, fault)
    versions |= dict.fromkeys(release.engines, release.version)
    assert list(versions.values()) == after.split(), versions
