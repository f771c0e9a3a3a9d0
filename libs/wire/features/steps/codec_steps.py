"""Steps for the codec feature."""

from __future__ import annotations

import math
import random
import struct
import sys
import tracemalloc
from enum import StrEnum
from importlib.resources import files
from pathlib import Path
from typing import get_args, get_origin, get_type_hints

import thriftpy2
from behave import then, when

from damaskjunction.wire import (
    DecodeError,
    Failure,
    Frame,
    HostStatus,
    SlotGranted,
    decode_frame,
    decode_message,
    encode_frame,
    encode_message,
    message_types,
)
from damaskjunction.wire.layout import LayoutError, check_struct
from damaskjunction.wire.schema import read_structs
from damaskjunction.wire.structs import load_structs

LIST_TYPE = 15
EXAMPLES = (
    Failure("not_run", "overloaded", "later", 1.0),
    HostStatus("a-1", 7, 3, "serving"),
)


def try_decode(context, decode, *arguments):
    try:
        decode(*arguments)
        context.outcomes["message"] += 1
    except DecodeError:
        context.outcomes["error"] += 1


def reset_outcomes(context):
    context.outcomes = {"message": 0, "error": 0}
    context.n_decoded = 0


@when(
    "{count:d} random byte strings of seed {seed:d} are decoded as frames and messages"
)
def decode_random(context, count, seed):
    reset_outcomes(context)
    rng = random.Random(seed)
    kinds = list(message_types)
    for _ in range(count):
        data = rng.randbytes(rng.randrange(0, 200))
        try_decode(context, decode_frame, data)
        try_decode(context, decode_message, rng.choice(kinds), data)
    context.n_decoded = 2 * count


@when(
    "each kind of message is encoded, corrupted {count:d} times with seed {seed:d} "
    "and decoded"
)
def decode_corrupted(context, count, seed):
    reset_outcomes(context)
    rng = random.Random(seed)
    for example in EXAMPLES:
        kind = type(example).__name__
        body = encode_message(example)
        frame = encode_frame(Frame(1, 0, kind, body))
        for _ in range(count):
            try_decode(context, decode_message, kind, corrupt(rng, body))
            try_decode(context, decode_frame, corrupt(rng, frame))
    context.n_decoded = 2 * count * len(EXAMPLES)


def corrupt(rng, data):
    corrupted = bytearray(data)
    for _ in range(rng.randrange(1, 4)):
        corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
    return bytes(corrupted[: rng.randrange(1, len(corrupted) + 1)])


MARK = "mark"


def make_variants(kind, part):
    """Yield messages of a kind, in each of which one field is marked or NaN."""
    hints = get_type_hints(kind)
    sound = {name: sound_value(hints[name]) for name in kind._fields}
    for name in kind._fields:
        if part == "number" and hints[name] is float:
            yield kind(**{**sound, name: math.nan})
        elif part == "text" and hints[name] is str:
            yield kind(**{**sound, name: MARK})
        elif part == "text" and get_args(hints[name])[:1] == (str,):
            yield kind(**{**sound, name: ("a", MARK)})


def sound_value(hint):
    if get_origin(hint) is not None:
        return ()
    if issubclass(hint, StrEnum):
        return next(iter(hint))
    return hint()


@when("each {part} of each kind of message is replaced by {odd}")
def decode_odd_parts(context, part, odd):
    reset_outcomes(context)
    for name in message_types:
        for message in make_variants(message_types.get(name), part):
            body = encode_message(message).replace(MARK.encode(), b"\xff\xfe\xfd\xfc")
            try_decode(context, decode_message, name, body)
            context.n_decoded += 1


@then("each such message gave a decode error")
def check_all_refused(context):
    assert context.n_decoded > 0
    assert context.outcomes["error"] == context.n_decoded, context.outcomes


@when("a frame that declares a body of {size:d} bytes is decoded")
def decode_oversized_body(context, size):
    reset_outcomes(context)
    binary_field = b"\x0b" + struct.pack("!hi", 4, size) + b"x" * 10
    tracemalloc.start()
    try_decode(context, decode_frame, binary_field)
    _, context.peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    context.n_decoded = 1


@then("each input gave a message or a decode error")
def check_outcomes(context):
    assert sum(context.outcomes.values()) == context.n_decoded, context.outcomes


@when("a list of {count:d} elements of type {kind:d}, {size:d} bytes each, is checked")
def check_list(context, count, kind, size):
    field = struct.pack("!bhbi", LIST_TYPE, 1, kind, count)
    data = field + bytes(size * count) + b"\0"
    context.n_steps = 0

    def count_step(frame, event, argument):
        context.n_steps += event == "call"

    sys.setprofile(count_step)
    try:
        check_struct(data)
        context.decision = "accepted"
    except LayoutError:
        context.decision = "refused"
    finally:
        sys.setprofile(None)


@then("it is {decision} in less than {count:d} steps")
def check_steps(context, decision, count):
    assert context.decision == decision, context.decision
    assert context.n_steps < count, context.n_steps


@when("a list that declares {count:d} zero-byte elements is decoded")
def decode_list(context, count):
    reset_outcomes(context)
    empty_list = b"\x0f" + struct.pack("!hbi", 9, 1, count) + b"\x00"
    try_decode(context, decode_frame, empty_list)
    context.n_decoded = 1


@then("the memory peak stayed below {size:d} MB")
def check_memory(context, size):
    assert context.peak_bytes < size * 1024 * 1024, context.peak_bytes


@when("a granted slot without its newest field is decoded")
def decode_older_message(context):
    body = encode_message(SlotGranted("r1", None))
    context.message = decode_message("SlotGranted", body)


@then('the slot\'s runner is "{runner}" and nothing of its request is watched')
def check_older_message(context, runner):
    assert context.message == SlotGranted(runner, ()), context.message


@when("the description of the messages is parsed by the thrift library")
def parse_description(context):
    path = Path(str(files("damaskjunction.wire").joinpath("peer.thrift")))
    parsed = thriftpy2.load(str(path), module_name="peer_thrift")
    context.parsed = {
        name: struct
        for name, struct in vars(parsed).items()
        if isinstance(struct, type)
    }
    context.structs = vars(load_structs(path))


@then("each struct has the same fields, types and defaults")
def check_structs(context):
    assert context.structs.keys() == context.parsed.keys()
    assert context.structs.keys() > set(message_types)
    for name, made in context.structs.items():
        expected = describe(context.parsed[name])
        assert describe(made) == expected, (describe(made), expected)


def describe(struct_type):
    """Return a struct's fields, with the names of structs in place of them."""
    specs = {
        number: tuple(name_of(part) for part in spec)
        for number, spec in struct_type.thrift_spec.items()
    }
    return specs, vars(struct_type()), struct_type._ttype


def name_of(part):
    return (part[0], part[1].__name__) if isinstance(part, tuple) else part


@when('the description "{text}" is read')
def read_description(context, text):
    try:
        context.error = f"read as {read_structs(text.replace('|', chr(10)))}"
    except ValueError as error:
        context.error = str(error)


@then("line {number:d} of the description is rejected")
def check_description(context, number):
    assert context.error.startswith(f"line {number} "), context.error
