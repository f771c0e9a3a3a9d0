"""Steps for the logging feature."""

from __future__ import annotations

import json
import logging
import os

from behave import given, then, when

from damaskjunction.core import LoopTimers, ManualTimers
from damaskjunction.telemetry import configure_logs

READ_BYTES = 1 << 20

logger = logging.getLogger("damaskjunction.test")


def open_logs(context):
    context.read_end, context.write_end = os.pipe()
    os.set_blocking(context.read_end, False)
    context.timers = ManualTimers()
    context.lines = []
    configure_logs(
        "info",
        process="host-1",
        now=context.timers.now,
        descriptor=context.write_end,
    )
    context.add_cleanup(close_logs, context)


def close_logs(context):
    logging.getLogger("damaskjunction").handlers.clear()
    os.close(context.read_end)
    os.close(context.write_end)


def read_lines(context):
    try:
        text = os.read(context.read_end, READ_BYTES).decode()
    except BlockingIOError:
        return
    context.lines += [json.loads(line) for line in text.splitlines()]


def lines_of(context, event):
    return [line for line in context.lines if line["message"] == event]


@given("logging to a pipe that is read")
def open_drained_pipe(context):
    open_logs(context)
    context.is_read = True


@given("logging to a pipe that is not read")
def open_undrained_pipe(context):
    open_logs(context)
    context.is_read = False


@when('the event "{event}" is logged {count:d} times')
def log_repeatedly(context, event, count):
    for _ in range(count):
        logger.info(event)
        read_lines(context)


@when('the event "{event}" is logged with request "{request_id}"')
def log_request(context, event, request_id):
    logger.info(event, extra={"request": request_id})
    read_lines(context)


@when("lines of {size:d} bytes are logged {count:d} times")
def log_long_lines(context, size, count):
    clock = LoopTimers()
    started_at_s = clock.now()
    for _ in range(count):
        logger.info("long", extra={"text": "x" * size})
    context.elapsed_s = clock.now() - started_at_s


@when("the log clock advances by {duration_s:g} s")
def advance_clock(context, duration_s):
    context.timers.advance(duration_s)


@then('there are at most {count:d} lines of "{event}"')
def check_at_most(context, count, event):
    found = len(lines_of(context, event))
    assert 0 < found <= count, found


@then('there is {count:d} line of "{event}"')
def check_lines(context, count, event):
    assert len(lines_of(context, event)) == count


@then('a line reports {count:d} suppressed lines of "{event}"')
def check_suppressed(context, count, event):
    reports = lines_of(context, "log lines left out")
    assert reports, context.lines[-3:]
    assert reports[0]["left_out_by_event"] == {event: count}, reports


@then("logging takes less than {limit_s:g} s")
def check_elapsed(context, limit_s):
    assert context.elapsed_s < limit_s, context.elapsed_s


@then("lines are dropped")
def check_dropped(context):
    handler = logging.getLogger("damaskjunction").handlers[0]
    assert handler.n_dropped > 0


@then('the line of "{event}" has request "{request_id}" and process "{process}"')
def check_fields(context, event, request_id, process):
    (line,) = lines_of(context, event)
    assert line["request"] == request_id, line
    assert line["process"] == process, line
