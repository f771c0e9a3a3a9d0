"""Steps for the feature of the configuration."""

from __future__ import annotations

import contextlib
from pathlib import Path

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies

from damaskjunction.core import FindingsError, ServiceKind, ServiceSpec
from damaskjunction.settings import (
    FIELDS_BY_SECTION,
    find_cycles,
    read_configuration,
    read_configuration_in_slices,
    read_host_settings,
)

ROOT = Path(__file__).resolve().parents[4]
DIGEST_A, DIGEST_B = "a" * 64, "b" * 64

CONFIGURATION_TEXT = f"""models:
  caddie:
    version: v1
services:
  carts:
    kind: plain
    min_runners: 1
  chat:
    model: caddie
    min_runners: 2
    max_runners: 3
    depends_on: [carts]
    kind: engine
workspaces:
  carritos:
    share: 2
    key_digests: [{DIGEST_A}]
  clubs:
    share: 1
    key_digests: [{DIGEST_B}]
"""

CHANGES_BY_NAME = {
    "an unknown key": ("    kind: engine", "    max_runers: 3\n    kind: engine"),
    "a missing model": ("model: caddie", "model: cady"),
    "a missing service": ("[carts]", "[fleet]"),
    "a cycle": ("[carts]", "[chat]"),
    "max below min": ("max_runners: 3", "max_runners: 1"),
    "too many data centres": (
        "    kind: engine",
        "    min_data_centres: 4\n    kind: engine",
    ),
    "a shared caller key": (DIGEST_B, DIGEST_A),
    "a short digest": (DIGEST_B, "abc"),
    "a duplicate key": ("    max_runners: 3", "    min_runners: 3"),
    "a plain service's model": ("min_runners: 1", "model: caddie"),
    "a path without a slash": ("min_runners: 1", "calls: [{path: battery}]"),
    "an octal number": ("min_runners: 2", "min_runners: !!int 0o2"),
}


def findings_of(text):
    try:
        read_configuration(text, "text.yaml")
    except FindingsError as error:
        return error.findings
    return ()


@given("the configuration of two services with {name}")
def make_configuration(context, name):
    context.document = CONFIGURATION_TEXT
    if name == "every change at once":
        for old, new in CHANGES_BY_NAME.values():
            context.document = context.document.replace(old, new, 1)
    elif name != "no change":
        old, new = CHANGES_BY_NAME[name]
        assert old in CONFIGURATION_TEXT
        context.document = CONFIGURATION_TEXT.replace(old, new, 1)


@given("a text of {count:d} unknown keys")
def make_oversized_text(context, count):
    context.document = "".join(f"service_{number}: 1\n" for number in range(count))


@when("it is read")
def read(context):
    context.findings = findings_of(context.document)


@then('a finding on line {line:d} at "{key}" says "{message}"')
def check_finding(context, line, key, message):
    for finding in context.findings:
        location = finding.location
        if (location.line, location.key) == (line, key) and message in str(finding):
            return
    raise AssertionError([str(finding) for finding in context.findings])


@then("there are at least {count:d} findings")
def check_minimum(context, count):
    assert len(context.findings) >= count, context.findings


@then("there are at most {count:d} findings")
def check_maximum(context, count):
    assert 1 < len(context.findings) <= count, len(context.findings)


@given("services where {pairs}")
def make_services(context, pairs):
    names = [part.strip('"') for part in pairs.replace(",", " ").split()]
    context.services = [
        ServiceSpec(names[index], ServiceKind.PLAIN, depends_on=(names[index + 2],))
        for index in range(0, len(names), 3)
    ]


@then('the circular dependencies are "{first}" and "{second}"')
def check_cycles(context, first, second):
    cycles = find_cycles(context.services)
    assert cycles == [tuple(first.split(",")), tuple(second.split(","))], cycles


@then("{count:d} random texts are accepted or rejected with findings")
def check_random_texts(context, count):
    @hypothesis_settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis_given(strategies.text(max_size=200))
    def check(text):
        findings_of(text)
        with contextlib.suppress(FindingsError):
            read_host_settings(text, "host.yaml")

    check()


@then("{count:d} mutations of a valid text are accepted or rejected with findings")
def check_mutated_texts(context, count):
    positions = strategies.integers(0, len(CONFIGURATION_TEXT))
    pieces = strategies.one_of(
        strategies.sampled_from(["{", "[", "*a", "&a ", "- ", ": ", "<<: ", "!!int "]),
        strategies.text(max_size=5),
    )

    @hypothesis_settings(
        max_examples=count, deadline=None, database=None, derandomize=True
    )
    @hypothesis_given(positions, positions, pieces)
    def check(start, end, piece):
        findings_of(
            CONFIGURATION_TEXT[:start]
            + piece
            + CONFIGURATION_TEXT[max(start, end - 20) :]
        )

    check()


@then('"{name}" has "{key}" {value:g}')
def check_default(context, name, key, value):
    service = read_configuration(context.document, "text").services_by_name[name]
    assert getattr(service, key) == value


@then('"{page}" has a row for every key of the schema')
def check_page(context, page):
    text = (ROOT / page).read_text()
    missing = [
        f"{section}.{field.key}"
        for section, fields in FIELDS_BY_SECTION.items()
        for field in fields
        if f"| `{section}.{field.key}` |".replace("`.", "`") not in text
    ]
    assert not missing, missing


@then('the example of "{page}" is valid')
def check_example(context, page):
    _, _, rest = (ROOT / page).read_text().partition("```yaml\n")
    example, _, _ = rest.partition("```")
    assert findings_of(example) == ()
    assert read_configuration(example, page).services_by_name


@given("a valid configuration of {count:d} workspaces")
def make_long_configuration(context, count):
    rows = [
        f"  w{number}: {{key_digests: ['{number:064x}']}}" for number in range(count)
    ]
    services = "services:\n  carts: {kind: plain}\nworkspaces:\n"
    context.document = services + "\n".join(rows)


@then("it is read in at least {count:d} slices, to the same configuration")
def check_slices(context, count):
    slices = read_configuration_in_slices(context.document, "text")
    n_slices = 0
    while True:
        try:
            next(slices)
        except StopIteration as stop:
            configuration = stop.value
            break
        n_slices += 1
    assert n_slices >= count, n_slices
    assert configuration == read_configuration(context.document, "text")
