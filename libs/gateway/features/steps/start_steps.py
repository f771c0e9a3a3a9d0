"""Steps for the start of a host process."""

from __future__ import annotations

import asyncio
import subprocess
import sys

from behave import then, when

from damaskjunction.gateway.daemon import limit_receive_buffers

LIST_MODULES = """
import sys
import damaskjunction.gateway.daemon
print(*sorted(sys.modules))
"""
SENT_BYTES = 1 << 20


@when("the modules that a host loads are listed")
def list_modules(context):
    completed = subprocess.run(
        [sys.executable, "-c", LIST_MODULES], check=True, capture_output=True, text=True
    )
    context.modules = set(completed.stdout.split())


@then('"{module}" is among them')
def check_loaded(context, module):
    assert module in context.modules, sorted(context.modules)


@then("none of these is among them:")
def check_not_loaded(context):
    unwanted = {row["module"] for row in context.table}
    assert not unwanted & context.modules, unwanted & context.modules


class _Recorder(asyncio.Protocol):
    def __init__(self, sizes, done):
        self._sizes = sizes
        self._done = done

    def data_received(self, data):
        self._sizes.append(len(data))
        if sum(self._sizes) >= SENT_BYTES:
            self._done.set()


@when("the buffers that reads of sockets take are limited")
def limit_buffers(context):
    transport = vars(asyncio.selector_events)["_SelectorTransport"]
    context.add_cleanup(setattr, transport, "max_size", transport.max_size)
    limit_receive_buffers()
    context.sizes = context.asyncio_runner.run(_send_and_record())


async def _send_and_record():
    sizes, done = [], asyncio.Event()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: _Recorder(sizes, done), "127.0.0.1", 0)
    _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
    writer.write(b"x" * SENT_BYTES)
    await asyncio.wait_for(done.wait(), 10)
    writer.close()
    server.close()
    return sizes


@then("a connection reads at most {count:d} bytes at once")
def check_sizes(context, count):
    assert max(context.sizes) <= count, context.sizes
