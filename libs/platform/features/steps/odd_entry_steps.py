"""Steps of the feature on odd entries in the platform's store."""

from __future__ import annotations

import base64
import copy
import json

from behave import given, then, when

from damaskjunction.core import DamaskjunctionError, FindingError
from damaskjunction.platform import (
    BadJobError,
    PlatformObject,
    StoreClient,
    decode_configuration,
    decode_items,
    decode_job,
    decode_record,
    decode_result_list,
    decode_runner,
    decode_runner_report,
    decode_status,
    item_request,
)
from damaskjunction.platform.store_transport import StoreReply

RUNNER = {
    "Service": "s1",
    "Addr": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "born": 1796400000123,
}
ITEM = {
    "Id": "i1",
    "Path": "/n/1",
    "Headers": {"X-Model": "m"},
    "Body": base64.b64encode(b"x").decode(),
    "Tokens": 7,
}
STORED_ITEM = {"id": "i", "path": "/", "headers": {}, "body": "", "tokens": 1}
ROUTE = {"Name": "a", "Host": "x", "PathPrefix": "/", "Kind": "batch", "Cap": 1}
SPLIT = [{"Service": "s1", "Weight": 9}, {"Service": "s2", "Weight": 1}]
CONFIGURATION = {
    "Version": 3,
    "Routes": [
        {**ROUTE, "Service": "s1", "TimeoutMs": 1, "Priority": 1, "RetentionS": 2},
        {**ROUTE, "Name": "b", "PathPrefix": "/b/", "Split": SPLIT},
    ],
    "Services": [
        {"Name": "s1", "MaxConns": 1, "Engine": {"Slots": 8, "KvCapacity": 9}},
        {"Name": "s2"},
    ],
    "Limits": {"HeaderBytes": 8000, "HeaderTimeoutMs": 1000},
}
JOB_RECORD = {
    "route": "night",
    "host": "x",
    "sent_at_s": 5.0,
    "item_ids": ["i1"],
    "tokens": [7],
    "n_parts": 1,
    "owner": "h1",
}
DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_TEXTS = {
    "nested 100000 deep": DEEP,
    "nested 500 deep": b"[" * 500 + b"]" * 500,
    "an integer of 5000 digits": b'{"Slots":' + b"1" * 5000 + b"}",
    "1e999": b'{"Slots":1e999}',
    "NaN": b'{"Slots":NaN}',
    "a lone surrogate": rb'{"Service":"\ud800"}',
    "not UTF-8": b'{"Service":"\xff\xfe"}',
    "not JSON": b'{"Service":,"a" 7}',
    "empty": b"",
    "a list": b'["Service"]',
    "a text": b'"Service"',
}
ODD_VALUES = (
    b"null",
    b"true",
    b"false",
    b"-1",
    b"0",
    b"1.5",
    b"70000",
    b"99999999999999999999",
    b"1" * 5000,
    b"1e999",
    b"-1e999",
    b"NaN",
    b'""',
    rb'"\u0000"',
    rb'"\ud800"',
    rb'"a\r\nb"',
    b'"\xff"',
    b'"' + b"a" * 80 + b'"',
    b'"a..b:80"',
    b"[]",
    b"[null]",
    b"{}",
    b'{"":null}',
    b'{"a":1,"a":2}',
    DEEP,
    b"[" * 500 + b"]" * 500,
    b"",
    b"nonsense",
)


class ScriptedTransport:
    """A transport to a store with a list of answers."""

    def __init__(self, *bodies):
        self._bodies = list(bodies)

    async def send(self, method, target, body, stall_s):
        """Return the next answer."""
        return StoreReply(200, self._bodies.pop(0))


def item_text(name, spec, revision=b"4"):
    metadata = b'{"Name":%s,"Revision":%s}' % (name, revision)
    return b'{"Metadata":%s,"Spec":%s,"Status":null}' % (metadata, spec)


def page_text(items, has_more=b"false"):
    return b'{"Items":[%s],"HasMore":%s,"CurrentRev":9}' % (b",".join(items), has_more)


def watch_text(items):
    events = [b'{"Object":%s,"Removed":false}' % item for item in items]
    return b'{"events":[%s],"CurrentRev":9}' % b",".join(events)


def read_objects(context, how):
    """Return the objects that a read of the given kind finds."""
    work = context.asyncio_runner.run
    if how == "list":
        client = StoreClient(ScriptedTransport(page_text(context.items)))
        page = work(client.list_all("servers"))
        assert page.store_revision == 9, page
        return page.objects
    client = StoreClient(ScriptedTransport(watch_text(context.items)))
    found = work(client.watch("servers", since=1, wait_s=1.0))
    assert found.store_revision == 9, found
    return tuple(change.object for change in found.changes)


def runner_names(objects):
    names = []
    for stored in objects:
        try:
            names.append(decode_runner(stored, {}).runner_id)
        except FindingError:
            continue
    return names


def sound_spec():
    return json.dumps(RUNNER).encode()


@given('sound entries of the runners "r1" and "r3", and one of "r2" that is {odd}')
def make_entries(context, odd):
    specs = (sound_spec(), ODD_TEXTS[odd], sound_spec())
    names = (b'"r1"', b'"r2"', b'"r3"')
    context.items = [item_text(*pair) for pair in zip(names, specs, strict=True)]


@given(
    'sound entries of the runners "r1" and "r3", and others without name or revision'
)
def make_nameless(context):
    spec = sound_spec()
    context.items = [
        item_text(b'"r1"', spec),
        item_text(b"null", spec),
        item_text(b"7", spec),
        item_text(b'""', spec),
        item_text(rb'"\ud800"', spec),
        item_text(DEEP, spec),
        item_text(b'"r2"', spec, b"true"),
        item_text(b'"r2"', spec, b"1.5"),
        item_text(b'"r2"', spec, b"-1"),
        item_text(b'"r2"', spec, b"1" * 5000),
        b"{}",
        b"null",
        b"[]",
        b"7",
        DEEP,
        item_text(b'"r3"', spec),
    ]


@then('a {read} gives the runners "r1" and "r3", and "r2" names none')
def check_read(context, read):
    objects = read_objects(context, read)
    assert [stored.name for stored in objects] == ["r1", "r2", "r3"], objects
    assert runner_names(objects) == ["r1", "r3"], objects


@then('a {read} gives the runners "r1" and "r3"')
def check_read_without(context, read):
    objects = read_objects(context, read)
    assert runner_names(objects) == ["r1", "r3"], objects


@given("a page of runners that ends with entries without a name, and another page")
def make_pages(context):
    spec = sound_spec()
    first = [item_text(b'"r1"', spec), item_text(b"null", spec), b"[]"]
    context.pages = (
        page_text(first, b"true"),
        page_text([item_text(b'"r2"', spec)]),
    )


@then("all runners of both pages are listed")
def check_pages(context):
    client = StoreClient(ScriptedTransport(*context.pages))
    page = context.asyncio_runner.run(client.list_all("servers"))
    assert runner_names(page.objects) == ["r1", "r2"], page


@then('a read of "r2" names no runner')
def check_get(context):
    client = StoreClient(ScriptedTransport(context.items[1]))
    stored = context.asyncio_runner.run(client.get("servers", "r2"))
    assert stored is not None
    assert not runner_names([stored]), stored


# Parts of documents


def decode_stored(decode, error, document):
    """Decode the content of an object as the store client gives it."""
    client = StoreClient(ScriptedTransport(item_text(b'"n1"', document)))
    coroutine = client.get("kind", "n1")
    try:
        coroutine.send(None)
    except StopIteration as stop:
        stored = stop.value
    except DamaskjunctionError:
        return None
    try:
        return decode(stored)
    except error:
        return None


def decode_caller_job(document):
    try:
        return decode_job(document)
    except BadJobError:
        return None


def stored_decoder(decode, error=DamaskjunctionError):
    return lambda document: decode_stored(decode, error, document)


DECODERS = {
    "runner": (RUNNER, stored_decoder(lambda s: decode_runner(s, {}), FindingError)),
    "configuration": (
        CONFIGURATION,
        stored_decoder(decode_configuration, FindingError),
    ),
    "job of a caller": ({"Items": [ITEM]}, decode_caller_job),
    "stored job": (JOB_RECORD, stored_decoder(lambda s: decode_record("j", s.content))),
    "status of a job": (
        {"is_ended": True, "is_done": False, "owner": "h1"},
        stored_decoder(lambda s: decode_status(s.content)),
    ),
    "list of items": (
        [STORED_ITEM, {**STORED_ITEM, "id": "j"}],
        stored_decoder(lambda s: decode_items(s.content)),
    ),
    "list of results": (
        [["i1", True, "text"], ["i2", False, ""]],
        stored_decoder(lambda s: decode_result_list(s.content)),
    ),
    "report of a runner": (
        {"Running": 1, "Waiting": 0, "born": 5},
        lambda document: decode_runner_report(200, document),
    ),
}
MARK = "the part to replace"


def variants(value):
    """Yield copies of a document, each with another part replaced by a mark."""
    yield MARK
    children = ()
    if isinstance(value, dict | list):
        children = value.items() if isinstance(value, dict) else enumerate(value)
    for key, child in children:
        for variant in variants(child):
            changed = copy.copy(value)
            changed[key] = variant
            yield changed
    if isinstance(value, dict):
        for key in value:
            yield {k: v for k, v in value.items() if k != key}


@when("each part of a sound {document} is replaced by each odd value")
def decode_variants(context, document):
    sound, decode = DECODERS[document]
    assert decode(json.dumps(sound).encode()) is not None, "the sound one is refused"
    mark = json.dumps(MARK).encode()
    context.decoded = []
    for variant in variants(sound):
        text = json.dumps(variant).encode()
        for odd in ODD_VALUES:
            value = decode(text.replace(mark, odd))
            if value is not None:
                context.decoded.append(value)


@then("each is refused with the error of its decoder, or harms nobody")
def check_variants(context):
    for value in context.decoded:
        text = json.dumps(value, allow_nan=False, default=repr, ensure_ascii=False)
        assert len(text.encode()) < 100_000, text[:200]


@given('the entry of a runner with {text} as its "{key}"')
def make_runner(context, text, key):
    entry = {**RUNNER, key: json.loads(text)}
    context.objects = [PlatformObject("servers", "r1", 3, entry)]


@given("the entry of a runner with the name {name}")
def make_named_runner(context, name):
    context.objects = [PlatformObject("servers", json.loads(name), 3, RUNNER)]


@then("it names no runner")
def check_no_runner(context):
    assert not runner_names(context.objects), context.objects


@given('a caller\'s job whose item has {text} as its "{key}"')
def make_job(context, text, key):
    other = {**ITEM, "Id": "i2"}
    context.job = {"Items": [other, {**ITEM, key: json.loads(text)}]}


@given("a caller's job with two items of one id")
def make_job_of_twins(context):
    context.job = {"Items": [ITEM, ITEM]}


@then("the job is refused")
def check_job_refused(context):
    assert decode_caller_job(json.dumps(context.job).encode()) is None


@then('its item is sent with the headers "{names}"')
def check_item_headers(context, names):
    item = decode_job(json.dumps(context.job).encode())[1]
    found = item_request(item, "x").headers
    assert sorted(found) == names.split(","), found
