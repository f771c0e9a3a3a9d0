"""Steps of the feature on stored objects of the build that landed last."""

from __future__ import annotations

from behave import then, when

from damaskjunction.batch import BatchItem, ItemResult, JobRecord, JobStatus
from damaskjunction.platform import (
    decode_items,
    decode_record,
    decode_result_list,
    decode_status,
    encode_items,
    encode_record,
    encode_result_list,
    encode_status,
)

RECORD = JobRecord("j1", "night", "a.example", 17.5, ("i1", "i2"), (10, 20), 0, "h1")
ITEM = BatchItem("i1", "/night/x", {"x-model": "m"}, b"{}", 10)
RESULT = ItemResult("i1", True, "id: 1\n\n")
# As the landed build writes them.
DOCUMENTS = {
    "job": {
        "route": "night",
        "host": "a.example",
        "sent_at_s": 17.5,
        "item_ids": ["i1", "i2"],
        "tokens": [10, 20],
        "n_parts": 0,
        "owner": "h1",
        "items": [],
    },
    "status": {"is_ended": False, "is_done": True, "owner": "h2"},
    "items": {
        "id": "i1",
        "path": "/night/x",
        "headers": {"x-model": "m"},
        "body": "e30=",
        "tokens": 10,
    },
    "results": ["i1", True, "id: 1\n\n"],
}
VALUES = {
    "job": RECORD,
    "status": JobStatus(is_done=True, owner="h2"),
    "items": (ITEM,),
}
DECODERS = {
    "job": lambda document: decode_record("j1", document),
    "status": decode_status,
    "items": lambda document: decode_items([document]),
}
ENCODED = {
    "job": lambda: encode_record(RECORD, ()),
    "status": lambda: encode_status(VALUES["status"]),
    "items": lambda: encode_items([ITEM])[0],
    "results": lambda: encode_result_list([RESULT])[0],
}


@when("a stored {kind} of the landed build is decoded")
def decode_landed(context, kind):
    context.kind = kind
    context.value = DECODERS[kind](DOCUMENTS[kind])


@when("a stored {kind} of a build with a further field is decoded")
def decode_later(context, kind):
    context.kind = kind
    context.value = DECODERS[kind]({**DOCUMENTS[kind], "added_later": [1]})


@then("it has its recorded values")
def check_values(context):
    assert context.value == VALUES[context.kind], context.value


@then("a stored {kind} is written with all the landed fields")
def check_written(context, kind):
    written, landed = ENCODED[kind](), DOCUMENTS[kind]
    if kind == "results":
        # The landed build reads results of exactly these parts.
        assert written == landed, written
        assert decode_result_list([landed]) == (RESULT,)
        return
    assert {name: written[name] for name in landed} == landed, written
