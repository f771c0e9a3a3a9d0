"""Steps of the feature on what a host believes of its own way to the store."""

from __future__ import annotations

import random

from behave import given, then, when

from damaskjunction.gateway.store.store_availability import StoreAvailability

RECOVERY_S = 0.8
STEP_S = 0.01


@given("a store that answered a probe 0 s ago")
def make_availability(context):
    context.now_s = 0.0
    context.availability = StoreAvailability(RECOVERY_S, random.Random(1))
    context.availability.record_answer(context.now_s)


@when("{count:d} probes fail as soon as they are due")
def fail_probes(context, count):
    context.pauses_s = []
    for _ in range(count):
        context.availability.record_failure(context.now_s)
        failed_at_s = context.now_s
        while not context.availability.is_probe_due(context.now_s):
            context.now_s += STEP_S
        context.pauses_s.append(context.now_s - failed_at_s)


@then("each pause is at most {longest_s:g} s and the last at least {last_s:g} s")
def check_pauses(context, longest_s, last_s):
    assert max(context.pauses_s) <= longest_s + STEP_S, context.pauses_s
    assert context.pauses_s[-1] >= last_s, context.pauses_s


@then("the store counts as lost")
def check_lost(context):
    assert context.availability.is_lost


@then("the store does not count as lost")
def check_not_lost(context):
    assert not context.availability.is_lost


@then("the store is proved to answer {early_s:g} s later, and not {late_s:g} s later")
def check_proof(context, early_s, late_s):
    assert context.availability.is_proved(context.now_s + early_s)
    assert not context.availability.is_proved(context.now_s + late_s)


@then("the next answer ends the failure, the one after it does not")
def check_end_of_failure(context):
    assert context.availability.record_answer(context.now_s)
    assert not context.availability.record_answer(context.now_s)


@when("the lost store is back")
def get_store_back(context):
    context.availability.record_answer(context.now_s)
    context.availability.start_recovery(context.now_s)


@then("another host is waited for during {duration_s:g} s")
def check_recovery(context, duration_s):
    availability, now_s = context.availability, context.now_s
    assert availability.is_recovering(now_s + duration_s - STEP_S)
    assert not availability.is_recovering(now_s + duration_s)


@then("nothing is waited for once another host has told of changes")
def check_forgotten(context):
    context.availability.forget()
    assert not context.availability.is_recovering(context.now_s)
    assert context.availability.is_probe_due(context.now_s)
