"""Steps of the feature on messages of the build that landed last."""

from __future__ import annotations

import json
from importlib.resources import files
from pathlib import Path

from behave import given, then, when
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.transport import TCyMemoryBuffer

import damaskjunction.gateway.root  # noqa: F401 - registers all messages
from damaskjunction.wire import decode_message, encode_message, message_types
from damaskjunction.wire.schema import read_structs
from damaskjunction.wire.structs import load_structs

LANDED = Path(__file__).parent.parent / "landed"
SAMPLES = json.loads((LANDED / "messages.json").read_text())
LANDED_STRUCTS = read_structs((LANDED / "peer.thrift").read_text())
CHANGES = {
    "SlotAsk.avoid renumbered": ("  5: list<string> avoid", "  95: list<string> avoid"),
    "SlotAsk.avoid removed": ("  5: list<string> avoid\n", ""),
    "SlotAsk.avoid of another type": ("  5: list<string> avoid", "  5: string avoid"),
    "SlotAsk.avoid renamed": ("  5: list<string> avoid", "  5: list<string> others"),
    "SlotAsk removed": ("struct SlotAsk {", "struct AnotherAsk {"),
}


def present_schema():
    return files("damaskjunction.wire").joinpath("peer.thrift").read_text()


def missing_fields(schema):
    """Return the landed fields that a schema lacks."""
    present = read_structs(schema)
    return [
        (name, field)
        for name, fields in LANDED_STRUCTS.items()
        for field in (fields or ())
        if field not in present.get(name, ())
    ] + [name for name in LANDED_STRUCTS if name not in present]


def plain(value):
    """Return a message as the values that its sample holds."""
    if hasattr(value, "_asdict"):
        return {name: plain(part) for name, part in value._asdict().items()}
    if isinstance(value, (list, tuple)):
        return [plain(part) for part in value]
    return value.decode() if isinstance(value, bytes) else value


def struct_values(value):
    """Return a thrift struct as the values that a sample holds."""
    if hasattr(value, "thrift_spec"):
        return {name: struct_values(part) for name, part in vars(value).items()}
    if isinstance(value, list):
        return [struct_values(part) for part in value]
    return value.decode() if isinstance(value, bytes) else value


@when("each recorded message is decoded")
def decode_recorded(context):
    context.decoded = {
        kind: decode_message(kind, bytes.fromhex(sample["bytes"]))
        for kind, sample in SAMPLES.items()
    }


@then("each message has its recorded values, and defaults in fields added since")
def check_recorded(context):
    assert context.decoded.keys() == SAMPLES.keys()
    for kind, message in context.decoded.items():
        recorded = SAMPLES[kind]["fields"]
        values = plain(message)
        assert {name: values[name] for name in recorded} == recorded, kind
        for name in values.keys() - recorded.keys():
            assert getattr(message, name) == message._field_defaults[name], (kind, name)


@when("each message that both builds know is decoded with the landed schema")
def decode_with_landed(context):
    landed = load_structs(LANDED / "peer.thrift")
    context.by_landed = {}
    for kind, sample in SAMPLES.items():
        body = encode_message(decode_message(kind, bytes.fromhex(sample["bytes"])))
        struct = getattr(landed, kind)()
        protocol = TCyBinaryProtocolFactory().get_protocol(TCyMemoryBuffer(body))
        protocol.read_struct(struct)
        context.by_landed[kind] = struct_values(struct)


@then("each has the values of the fields that the landed build knows")
def check_by_landed(context):
    for kind, values in context.by_landed.items():
        assert kind in message_types
        assert values == SAMPLES[kind]["fields"], kind


@then("the landed schema is part of the present one")
def check_schema(context):
    assert not missing_fields(present_schema()), missing_fields(present_schema())


@given("the present schema with {change}")
def change_schema(context, change):
    schema = present_schema()
    context.schema = schema.replace(*CHANGES[change])
    assert context.schema != schema


@then("the landed schema is not part of it")
def check_changed_schema(context):
    assert missing_fields(context.schema)
