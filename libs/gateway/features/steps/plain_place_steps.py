"""Steps on the places of requests at plain runners."""

from __future__ import annotations

from contextlib import ExitStack

from behave import given, then, when

from damaskjunction.core import Outcome, RequestError
from damaskjunction.gateway.requests.plain_places import PlainPlaces


@given(
    '{limit:d} places, of which "draw" has {draw:d}, "look" {look:d} and "list" '
    "{listed:d}"
)
def take_places(context, limit, draw, look, listed):
    context.places = PlainPlaces(limit)
    context.held_by_service = {}
    for service, count in (("draw", draw), ("look", look), ("list", listed)):
        context.held_by_service[service] = stacks = []
        for _ in range(count):
            stack = ExitStack()
            stack.enter_context(context.places.take(service))
            stacks.append(stack)


@when('a request for "{service}" ends')
def end_request(context, service):
    context.held_by_service[service].pop().close()


@when('a request for "{service}" asks for a place')
def ask_for_place(context, service):
    n_before = context.places.n_taken
    try:
        with context.places.take(service):
            assert context.places.n_taken == n_before + 1
            context.decision = "granted"
    except RequestError as error:
        assert error.outcome is Outcome.NOT_RUN and error.retry_after_s > 0, error
        context.decision = "refused"
    assert context.places.n_taken == n_before


@then("the place is {decision}")
def check_place(context, decision):
    assert context.decision == decision, context.decision
