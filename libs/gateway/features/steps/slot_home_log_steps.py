"""Steps of the feature on log lines on requests that leave their data centre."""

from __future__ import annotations

from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from damaskjunction.gateway.slots import slot_home_log

LOOK_PERIOD_S = 0.1
LOOKS_PER_S = 10


@given(
    "a home whose pool has given slots to {inside:d} requests inside"
    " and {outside:d} outside"
)
def make_pool(context, inside, outside):
    starts = {"inside": inside, "outside": outside}
    context.pool = SimpleNamespace(n_starts_by_place=starts)


@when(
    "its log looks at the pool for {duration_s:d} s, with {inside:d} inside"
    " and {outside:d} outside a second"
)
def look(context, duration_s, inside, outside):
    log, starts = slot_home_log.SlotHomeLog(), context.pool.n_starts_by_place
    with patch.object(slot_home_log, "logger") as context.logger:
        for number in range(duration_s * LOOKS_PER_S):
            if number % LOOKS_PER_S == 1:
                starts["inside"] += inside
                starts["outside"] += outside
            log.log_leaving("s", context.pool, number * LOOK_PERIOD_S)


@then("it logs {count:d} times that requests leave their data centre")
def check_lines(context, count):
    assert context.logger.info.call_count == count, context.logger.info.mock_calls
