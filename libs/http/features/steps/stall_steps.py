"""Steps on stall timeouts of reads."""

from __future__ import annotations

import asyncio
import socket
import time

from behave import given, then, when

from damaskjunction.http.stalls import StallTimer

DATA = b"data"


@given("a read with a stall timeout of {stall_s:g} s")
def make_read(context, stall_s):
    context.stall_s = stall_s


@when("the process stands still for {late_s:g} s, and data are there then")
def read_late(context, late_s):
    context.results = []
    context.error = None
    try:
        asyncio.run(read_twice(context, late_s))
    except TimeoutError as error:
        context.error = error


async def read_twice(context, late_s):
    own, other = socket.socketpair()
    reader, writer = await asyncio.open_connection(sock=own)
    timer = StallTimer(reader)

    def send_and_be_late():
        other.send(DATA)
        time.sleep(late_s)

    asyncio.get_running_loop().call_later(context.stall_s / 2, send_and_be_late)
    try:
        context.results.append(await timer.read(len(DATA), context.stall_s))
        other.send(DATA)
        context.results.append(await timer.read(len(DATA), context.stall_s))
    finally:
        timer.close()
        writer.close()
        other.close()


@then("the read returns them")
def check_first(context):
    assert context.results[:1] == [DATA], (context.results, context.error)


@then("so does the next read")
def check_next(context):
    assert context.error is None and context.results[1:] == [DATA], context.results
