"""Steps of the feature on decoding of what others wrote."""

from __future__ import annotations

import time

from behave import then, when

from damaskjunction.core import (
    Address,
    MalformedError,
    check_n_values,
    parse_json,
    read_address,
    split_array,
)

TEXTS = {
    "of a list nested 100000 deep": b"[" * 100_000 + b"]" * 100_000,
    "of an object nested 100000 deep": b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
    "of a list nested 40 deep": b"[" * 40 + b"]" * 40,
    "of a list nested 30 deep": b"[" * 30 + b"]" * 30,
    "of a list that is never closed": b"[" * 100_000,
    "of an integer of 5000 digits": b"1" * 5000,
    "of a lone surrogate": rb'"\ud800"',
    "of a lone surrogate as a key": rb'{"\uDFFF": 1}',
    "of a surrogate pair": rb'"\ud83d\ude00"',
    "of a NUL": rb'"\u0000"',
    "of an object with brackets in its text": rb'{"a]": "],[\\\"}"}',
    "of bytes that are not UTF-8": b'"\xff\xfe"',
}


def text_of(text):
    if text in TEXTS:
        return TEXTS[text]
    return text[1:-1].encode()


def keep_value(context, function, *arguments):
    try:
        context.value = function(*arguments)
    except MalformedError as error:
        context.value = error


@when("the JSON text {text} is parsed")
def parse_text(context, text):
    keep_value(context, parse_json, text_of(text))


@when("the JSON text {text} is checked to hold at most {most:d} values")
def count_values(context, text, most):
    keep_value(context, lambda data: check_n_values(data, most), text_of(text))


@then("it is accepted")
def check_accepted(context):
    assert context.value is None, repr(context.value)[:200]


@when('the address "" is read')
@when('the address "{text}" is read')
def read_text_as_address(context, text=""):
    text = text.encode().decode("unicode_escape") if "\\" in text else text
    keep_value(context, read_address, text)


@then("it is refused")
def check_refused(context):
    assert isinstance(context.value, MalformedError), repr(context.value)[:200]


@then('its value is "{value}"')
def check_value(context, value):
    expected = value.encode().decode("unicode_escape")
    assert repr(context.value) in (value, expected, repr(expected[1:-1])), context.value


@then("its value is a list")
def check_list(context):
    assert isinstance(context.value, list), context.value


@when("an array of 1, {element} and 2 is split")
def split_with(context, element):
    context.element = text_of(element)
    context.parts = split_array(b"[1," + context.element + b",2]")


@then("its elements are 1, that one and 2")
def check_parts(context):
    assert context.parts == [b"1", context.element, b"2"], context.parts


@when("an array of {count:d} bytes of brackets and quotes is split")
def split_large(context, count):
    started_at_s = time.perf_counter()
    keep_value(context, split_array, b"[" + b'[{"":"",' * (count // 8) + b"]")
    context.took_s = time.perf_counter() - started_at_s


@then("that took less than {limit_s:g} s")
def check_time(context, limit_s):
    assert context.took_s < limit_s, context.took_s


@then('it is port {port:d} of "{ip}"')
def check_address(context, port, ip):
    assert context.value == Address(ip, port), context.value
