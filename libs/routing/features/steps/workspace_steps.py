"""Steps of the feature on callers and their keys."""

from __future__ import annotations

from behave import given, then, use_step_matcher, when

from damaskjunction.core import WorkspaceSpec
from damaskjunction.routing import (
    CallerLimits,
    Route,
    RouteKind,
    digest_of_key,
    identify_caller,
    make_route_table,
    prioritize,
)

ROUTE = Route("ask", "a", "/", RouteKind.IDEMPOTENT, (), 1.0, 0.1)


def make_table(keys_by_name):
    workspaces = [
        WorkspaceSpec(name, key_digests=(digest_of_key(key),))
        for name, key in keys_by_name.items()
    ]
    return make_route_table(1, [ROUTE], [], CallerLimits(), workspaces)


use_step_matcher("re")  # values may be empty


@given('the workspaces "(.*)" with key "(.*)" and "(.*)" with key "(.*)"')
def make_workspaces(context, first, first_key, second, second_key):
    context.routes = make_table({first: first_key, second: second_key})


@given("no workspaces")
def make_no_workspaces(context):
    context.routes = make_table({})


@when('a caller sends "(.*)"')
def identify(context, authorization):
    context.caller = identify_caller(context.routes, authorization)


@then('its workspace is "(.*)" and its denial "(.*)"')
def check_caller(context, workspace, denial):
    caller = context.caller
    assert (caller.workspace_name, caller.denial or "") == (workspace, denial), caller


@then("it may use a route: (.*), and a public one: (.*)")
def check_use(context, may_use, may_use_public):
    public = ROUTE._replace(is_public=True)
    found = [context.caller.may_use(route) for route in (ROUTE, public)]
    assert list(map(str, found)) == [may_use, may_use_public], found


@then('it may reach a job of "(.*)": (.*), and if public: (.*)')
def check_reach(context, owner, may_reach, may_reach_public):
    reach = context.caller.may_reach_job
    found = [reach(owner, is_public=is_public) for is_public in (False, True)]
    assert list(map(str, found)) == [may_reach, may_reach_public], found


@then('a job of "(.*)" may be sent by it once more: (.*)')
def check_sent(context, owner, may_have_sent):
    found = context.caller.may_have_sent(owner)
    assert str(found) == may_have_sent, found


@then("a route of priority (.*) has priority (.*) for a workspace of (.*)")
def check_priority(context, before, result, own):
    workspace = WorkspaceSpec("w", priority=None if own == "none" else int(own))
    route = prioritize(ROUTE._replace(priority=int(before)), workspace)
    assert route.priority == int(result), route


use_step_matcher("parse")
