"""Steps of claims.feature."""

from __future__ import annotations

from behave import given, then, when
from claim_machine import run_machine


@given('the injected fault "{injected_fault}"')
def inject_fault(context, injected_fault):
    context.injected_fault = injected_fault


@when("the state machine test runs {n_examples:d} examples")
def run_examples(context, n_examples):
    context.failure = None
    try:
        run_machine(context.injected_fault, n_examples)
    except AssertionError as error:
        context.failure = str(error)


@then('it fails with "{message}"')
def check_failure(context, message):
    assert context.failure is not None, "the injected fault was not detected"
    assert message in context.failure, context.failure


@then("it passes")
def check_pass(context):
    assert context.failure is None, context.failure
