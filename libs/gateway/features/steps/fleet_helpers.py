"""Helpers of the steps on a fleet of hosts."""

from __future__ import annotations

import asyncio

STEP_TIMEOUT_S = 40.0


def run(context, work):
    async def bounded():
        async with asyncio.timeout(STEP_TIMEOUT_S):
            return await work

    return context.asyncio_runner.run(bounded())


def set_faults(context, fault, value):
    for runner in context.platform.runners.values():
        runner.faults[fault] = value


def clear_stream_faults(context):
    for fault in ("break_after", "silent_after"):
        set_faults(context, fault, 0)


def received(context, request_id):
    return [
        entry
        for runner in context.platform.runners.values()
        for entry in runner.recorded_runs
        if entry[0] == request_id
    ]
