"""Steps of the feature on workspaces in the platform's formats."""

from __future__ import annotations

import json

from behave import given, then, use_step_matcher, when
from decoding_steps import ROUTES, SERVICES, decode_table
from landed_object_steps import RECORD

from damaskjunction.core import FindingError
from damaskjunction.http import BodyReader, Request
from damaskjunction.platform import (
    decode_record,
    decode_request,
    encode_record,
    for_workspace,
)
from damaskjunction.routing import digest_of_key

use_step_matcher("re")  # values may be empty


@given("a configuration with a public route and the workspace")
def make_configuration(context):
    routes = [{**ROUTES[0], "Public": True}, *ROUTES[1:]]
    document = {"Version": 1, "Routes": routes, "Services": SERVICES}
    entry = json.loads(context.text)
    try:
        context.decoded = decode_table({**document, "Tenants": [entry]})
    except FindingError as error:
        context.decoded = error


@then("its keys are (.*), its priority (.*), its limits (.*) a second and (.*) at once")
def check_workspace(context, keys, priority, per_s, burst):
    workspace = context.decoded.workspaces_by_name["w1"]
    names = [key for key in keys.strip('"').split(",") if key]
    assert workspace.key_digests == tuple(map(digest_of_key, names)), workspace
    assert str(workspace.priority) == priority, workspace
    limits = (workspace.requests_per_s, workspace.burst)
    assert limits == (float(per_s), float(burst)), workspace


@then("only the first route is public")
def check_public(context):
    public = [
        route.name
        for routes in context.decoded.routes_by_host.values()
        for route in routes
        if route.is_public
    ]
    assert public == [ROUTES[0]["Name"]], public


@then("it is invalid")
def check_invalid(context):
    assert isinstance(context.decoded, FindingError), context.decoded


@given('a request with "(.*): (.*)" and "(.*): (.*)"')
def make_request(context, *parts):
    pairs = zip(parts[::2], parts[1::2], strict=True)
    headers = {name.lower(): value for name, value in pairs}
    request = Request("GET", "/", {}, headers, BodyReader(None, 0), "/")
    context.request = decode_request(request, b"")


@when('it is sent on behalf of "(.*)"')
def send(context, workspace):
    context.request = for_workspace(context.request, workspace)


@then('its runner gets the workspace "(.*)" and no key')
def check_headers(context, workspace):
    expected = {"x-tenant": workspace} if workspace else {}
    assert context.request.headers == expected, context.request.headers


@when('the record of a job of "(.*)" is stored and read')
def store_record(context, workspace):
    content = encode_record(RECORD._replace(workspace=workspace), ())
    context.record = decode_record(RECORD.job_id, content)


@then('it is of "(.*)"')
def check_record(context, workspace):
    assert context.record == RECORD._replace(workspace=workspace), context.record


use_step_matcher("parse")
