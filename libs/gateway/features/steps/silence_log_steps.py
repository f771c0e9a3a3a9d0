"""Steps on what logs and metrics tell of silent runners."""

from __future__ import annotations

import logging

from behave import given, then, when
from fleet_helpers import run
from owed_items_steps import pool_document
from silent_runner_steps import ENTRIES, LATE_NUMBER, Load, call

SILENT = "request runner silent"
REFUSED = "requests refused by home"
WAITING = "online requests wait for slots"
METRIC = 'runner_silences{{may_leave="{}"}}'


class KeptLines(logging.Handler):
    """Keeps the lines of all hosts."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def named(self, message):
        """Return the lines with a message."""
        return [r for r in self.records if r.getMessage() == message]

    def of(self, request_id):
        """Return message and reason of each line of a request."""
        return [
            (record.getMessage(), getattr(record, "reason", ""))
            for record in self.records
            if getattr(record, "request", "") == request_id
        ]


@given("the logs of all hosts are kept")
def keep_lines(context):
    context.lines = KeptLines()
    logger = logging.getLogger("damaskjunction.gateway")
    level = logger.level
    logger.setLevel(logging.INFO)
    logger.addHandler(context.lines)
    context.add_cleanup(logger.removeHandler, context.lines)
    context.add_cleanup(logger.setLevel, level)


@when('the home counts {count:d} requests of unknown hosts at "{name}"')
def count_unknown(context, count, name):
    context.platform.runners[name].faults["foreign"] = count

    def is_counted():
        return pool_document(context)["unseen_by_runner"].get(name) == count

    run(context, context.platform.wait_for(is_counted))


@when('a request for "{path}" comes with {left_s:g} s left')
def send_one(context, path, left_s):
    load = Load("", "", 1, path, left_s)
    run(context, call(context.platform, ENTRIES, LATE_NUMBER, load))


@then('the log of "{request_id}" has in turn:')
def check_lines(context, request_id):
    found = context.lines.of(request_id)
    rest = iter(found)
    for row in context.table:
        message, reason = row["message"], row["reason"]
        is_there = any(line[0] == message and reason in ("", line[1]) for line in rest)
        assert is_there, (message, reason, found)


@then('the log of "{request_id}" has no "{message}"')
def check_no_line(context, request_id, message):
    found = context.lines.of(request_id)
    assert message not in [line[0] for line in found], found


@then('no host logged "{message}"')
def check_not_logged(context, message):
    found = context.lines.named(message)
    assert not found, found


def silent_runners(context):
    return {record.runner for record in context.lines.named(SILENT)}


@then('"request runner silent" names the runners "{names}"')
def check_silent(context, names):
    assert silent_runners(context) == set(names.split(",")), silent_runners(context)


@then('"request runner silent" names {count:d} runner')
def check_n_silent(context, count):
    assert len(silent_runners(context)) == count, silent_runners(context)


@then('"configuration in force" was logged with version {version:d}')
def check_version(context, version):
    versions = [
        record.version for record in context.lines.named("configuration in force")
    ]
    assert version in versions, versions


@then("the hosts counted {count:d} silences of runners that may be left")
def check_leavable(context, count):
    check_metric(context, "True", count)


@then("the hosts counted {count:d} silences of runners that may not be left")
def check_kept(context, count):
    check_metric(context, "False", count)


def check_metric(context, may_leave, expected):
    texts = [host.metrics.to_text() for host in context.platform.hosts.values()]
    lines = [line for text in texts for line in text.splitlines()]
    name = METRIC.format(may_leave)
    found = sum(float(line.split()[-1]) for line in lines if name in line)
    assert found == expected, [line for line in lines if "silences" in line]


@then('"online requests wait for slots" tells that all {count:d} slots are used')
def check_used(context, count):
    used = [sum(r.used_by_runner.values()) for r in context.lines.named(WAITING)]
    assert count in used, used


@then(
    '"requests refused by home" tells that all {count:d} slots are used by '
    "unknown hosts"
)
def check_unseen(context, count):
    lines = context.lines.named(REFUSED)
    counts = [
        (sum(r.used_by_runner.values()), sum(r.unseen_by_runner.values()))
        for r in lines
    ]
    assert (0, count) in counts, counts
