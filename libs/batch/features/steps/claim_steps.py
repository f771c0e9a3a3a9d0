"""Steps of the claims' feature."""

from __future__ import annotations

from behave import given, then, when
from claim_machine import run_machine


@given('the planted fault "{planted}"')
def plant(context, planted):
    context.planted = planted


@when("{n_examples:d} runs of the state machine are tried")
def try_runs(context, n_examples):
    context.failure = None
    try:
        run_machine(context.planted, n_examples)
    except AssertionError as error:
        context.failure = str(error)


@then('it fails with "{message}"')
def check_failure(context, message):
    assert context.failure is not None, "the planted fault was not found"
    assert message in context.failure, context.failure


@then("it passes")
def check_pass(context):
    assert context.failure is None, context.failure
