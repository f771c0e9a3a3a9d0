"""Steps of the decoding feature."""

from __future__ import annotations

import base64
import json

from behave import given, then, when

from damaskjunction.batch import ItemResult, JobRecord
from damaskjunction.core import Address, FindingError, FindingsError, HostState
from damaskjunction.http import BodyReader, Request
from damaskjunction.platform import (
    BadJobError,
    PlatformObject,
    decode_configuration,
    decode_items,
    decode_job,
    decode_record,
    decode_request,
    decode_response_head,
    decode_result_list,
    decode_runner,
    decode_settings,
    encode_items,
    encode_record,
    encode_result_list,
    results_response,
    runner_headers,
)
from damaskjunction.routing import RouteKind

SETTINGS = {
    "NodeName": "edge-a-1",
    "Ip": "10.1.0.5",
    "Zone": "zone-a",
    "Region": "land",
    "Zones.zone-a": "land",
    "Listen.Front": "10.1.0.5:8144",
    "Listen.Ready": "10.1.0.5:8140",
    "PortRange": "7660,7675",
    "Bounds.GraceS": "8",
    "Platform.Addr": "10.9.0.1:8142",
    "Something.New": "1",
}
ROUTES = [
    {
        "Name": "alert",
        "Host": "X.example",
        "PathPrefix": "/a/",
        "Kind": "streaming",
        "Service": "s1",
        "MaxAttempts": 2,
        "Resumable": True,
    },
    {
        "Name": "split",
        "Host": "X.example",
        "PathPrefix": "/b/",
        "Kind": "idempotent",
        "Split": [{"Service": "s1", "Weight": 90}, {"Service": "s2", "Weight": 10}],
    },
]
SERVICES = [{"Name": "s1", "Engine": {"Slots": 8, "KvCapacity": 1000}}, {"Name": "s2"}]


def decode_context_settings(context):
    text = "\n".join(f"{key}={value}" for key, value in context.values.items())
    return decode_settings(text, "local.conf")


@given("the settings of an entry host")
def make_settings(context):
    context.values = dict(SETTINGS)


@when('the key "{key}" is missing')
def remove_key(context, key):
    del context.values[key]


@when('the key "{key}" is "{value}"')
def set_key(context, key, value):
    context.values[key] = value


@then(
    "leaving runners serve for {drain_s:g} s and clocks differ by at most "
    "{max_skew_s:g} s"
)
def check_drain(context, drain_s, max_skew_s):
    settings = decode_context_settings(context)
    assert (settings.drain_s, settings.max_skew_s) == (drain_s, max_skew_s), settings


@then("limits may be exceeded by {over:g} and {slack:g} requests in {window_s:g} s")
def check_quota_bounds(context, over, slack, window_s):
    bounds = decode_context_settings(context).quota_bounds
    assert bounds == (window_s, over, slack), bounds


@given('a runner\'s answer with the header "{name}" as "{value}"')
@given('a runner\'s answer with the header "{name}" as ""')
def make_answer(context, name, value=""):
    context.head = decode_response_head(200, {name.lower(): value})


@then("the runner leaves: {is_leaving}")
def check_leaving(context, is_leaving):
    assert str(context.head.is_leaving) == is_leaving, context.head


@then('the host is "{host}" in "{zone}" of "{region}"')
def check_host(context, host, zone, region):
    settings = decode_context_settings(context)
    found = settings.host_id, settings.data_centre, settings.region
    assert found == (host, zone, region), found
    assert settings.regions_by_data_centre == {zone: region}


@then('the caller address is "{address}"')
def check_caller(context, address):
    assert decode_context_settings(context).caller == Address.from_text(address)


@then("there is no caller address")
def check_no_caller(context):
    assert decode_context_settings(context).caller is None


@then("the peer port is {port:d}")
def check_port(context, port):
    assert decode_context_settings(context).peer_port == port


@then("the stop grace period is {grace_s:g} s")
def check_grace(context, grace_s):
    assert decode_context_settings(context).stop_grace_s == grace_s


@then('there are findings for the keys "{keys}"')
def check_findings(context, keys):
    try:
        decode_context_settings(context)
    except FindingsError as error:
        found = [finding.location.key for finding in error.findings]
        assert found == keys.split(","), found
    else:
        raise AssertionError("the settings were accepted")


def decode_table(document):
    return decode_configuration(PlatformObject("config", "main", 3, document))


def raises_error(function, error_type):
    try:
        function()
    except error_type:
        return True
    return False


@given("a configuration of version {version:d}")
def make_configuration(context, version):
    document = {"Version": version, "Routes": ROUTES, "Services": SERVICES}
    context.route_table = decode_table(document)
    assert context.route_table.version == version


@given("a configuration without its version")
def make_invalid_configuration(context):
    document = {"Routes": ROUTES, "Services": SERVICES}
    context.is_invalid = raises_error(lambda: decode_table(document), FindingError)


@then(
    'route "{name}" of "{host}" is a stream that may be resumed in {count:d} attempts'
)
def check_stream(context, name, host, count):
    route = context.route_table.find_by_name(name)
    assert route.host == host, route
    assert route.kind is RouteKind.STREAM, route
    assert route.is_resumable, route
    assert route.max_attempts == count, route


@then('route "{name}" sends the fraction {fraction:g} of its requests to "{service}"')
def check_fraction(context, name, fraction, service):
    parts = context.route_table.find_by_name(name).services
    weights = {part.service: part.weight for part in parts}
    assert weights[service] / sum(weights.values()) == fraction, weights


@then('service "{name}" has engines of {slots:d} slots')
def check_engine(context, name, slots):
    assert context.route_table.services_by_name[name].engine.slots == slots


@given('a runner\'s entry with "{key}" as {value}')
def make_entry(context, key, value):
    entry = {
        "Service": "s1",
        "Addr": "10.0.0.1:80",
        "Zone": "z",
        "Slots": 8,
        "State": "ready",
        key: json.loads(value),
    }
    stored = PlatformObject("servers", "r1", 3, entry)
    context.runner = None
    try:
        context.runner = decode_runner(stored, {"z": "land"})
    except FindingError:
        context.is_invalid = True
    else:
        context.is_invalid = False


@then("decoding fails")
def check_invalid(context):
    assert context.is_invalid


@then('it is a live runner of "{service}" with {slots:d} slots')
def check_runner(context, service, slots):
    runner = context.runner
    assert runner.service == service, runner
    assert runner.slots == slots, runner
    assert runner.state is HostState.LIVE, runner
    assert runner.region == "land", runner


@then(
    'its software version is "{version}" and its start is at {born_ms:d} ms',
)
@then('its software version is "" and its start is at {born_ms:d} ms')
def check_software(context, born_ms, version=""):
    assert not context.is_invalid
    assert (context.runner.version, context.runner.born_ms) == (version, born_ms)


@then('it takes up stream "{resumed_id}" after event {event_id:d}')
def check_resumed(context, resumed_id, event_id):
    assert context.request.resumed_id == resumed_id
    assert context.request.last_event_id == event_id


@given("a caller's request with headers")
def make_request(context):
    async def no_body():
        return
        yield b""

    headers = {row["name"].lower(): row["value"] for row in context.table}
    request = Request(
        "POST", "/a/1", {}, headers, BodyReader(no_body(), 10), "/a/1?x=y"
    )
    context.request = decode_request(request, b"body")


@then('its shared prompt parts are "{parts}"')
def check_parts(context, parts):
    assert context.request.shared_parts == tuple(parts.split(","))


@then("its deadline is {deadline_s:g} s")
def check_deadline(context, deadline_s):
    assert context.request.deadline_s == deadline_s


@when(
    'it is forwarded to runner "{runner}" with {remaining_s:g} s remaining, '
    "to resume after event {event:d}"
)
def forward_request(context, runner, remaining_s, event):
    context.headers = runner_headers(
        context.request, runner, remaining_s=remaining_s, last_event_id=event
    )


@then("the forwarded headers are")
def check_headers(context):
    expected = {row["name"]: row["value"] for row in context.table}
    assert context.headers == expected, context.headers


@given('a job as "{text}"')
def decode_malformed_job(context, text):
    context.is_invalid = raises_error(lambda: decode_job(text.encode()), BadJobError)


@given("a job of {count:d} items")
@given("a job of {count:d} items, each with {n_headers:d} headers")
def make_job(context, count, n_headers=1):
    entries = [
        {
            "Id": f"i{number}",
            "Path": "/n/1",
            "Headers": {f"X-Model-{n}": "m,m" for n in range(n_headers)},
            "Body": base64.b64encode(bytes([number, 255])).decode(),
            "Tokens": 7,
        }
        for number in range(count)
    ]
    context.items = decode_job(json.dumps({"Items": entries}).encode())


@then("it has {count:d} items")
def check_count(context, count):
    assert len(context.items) == count


@then("its record and items are equal after a round trip")
def check_job_round_trip(context):
    names = tuple(item.item_id for item in context.items)
    record = JobRecord("j1", "night", "x", 5.0, names, (7,) * len(names), 0, "h1")
    content = json.loads(json.dumps(encode_record(record, context.items)))
    assert decode_record("j1", content) == record
    assert decode_items(content["items"]) == context.items
    assert decode_items(encode_items(context.items)) == context.items


@then("results are equal after a round trip")
def check_results_round_trip(context):
    results = (ItemResult("i0", True, "a\nb"), ItemResult("i1", False, ""))
    content = json.loads(json.dumps(encode_result_list(results)))
    assert decode_result_list(content) == results


@given("results of {first:d}, {second:d} and {third:d} characters")
def make_result_list(context, first, second, third):
    sizes = (first, second, third)
    context.results = tuple(
        ItemResult(f"i{number}", True, "x" * size) for number, size in enumerate(sizes)
    )


@then("a page from {after:d} returns {count:d} result and continues at {next_at:d}")
@then("a page from {after:d} returns {count:d} results and continues at {next_at:d}")
def check_results_page(context, after, count, next_at):
    response = results_response(3, after, context.results[after:])
    document = json.loads(response.body)
    assert len(document["Results"]) == count, len(document["Results"])
    assert document["Next"] == next_at, document["Next"]
