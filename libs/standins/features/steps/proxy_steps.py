"""Steps of proxy.feature."""

from __future__ import annotations

import asyncio
import socket

from behave import given, then, when

from damaskjunction.standins import Mode, ProxyStandin, allocate_addresses
from damaskjunction.standins.proxy import RESET_ON_CLOSE

SETTLE_S = 0.1  # until a reset has reached the proxy's transports


@given("a connection through a proxy")
def connect_through_proxy(context):
    listen, target = allocate_addresses(2)
    context.proxy = ProxyStandin(listen, target)
    listener = socket.create_server(target)

    async def connect():
        await context.proxy.start()
        loop = asyncio.get_running_loop()
        caller = await loop.run_in_executor(None, socket.create_connection, listen)
        accepted, _ = await loop.run_in_executor(None, listener.accept)
        await asyncio.sleep(SETTLE_S)
        return {"caller": caller, "target": accepted}

    context.sockets_by_peer = context.asyncio_runner.run(connect())

    def end():
        listener.close()
        for peer in context.sockets_by_peer.values():
            peer.close()

    context.end = end


@when('the proxy changes to "{mode}"')
def change_mode(context, mode):
    async def change():
        context.proxy.set_mode(Mode(mode))
        await asyncio.sleep(SETTLE_S)

    context.asyncio_runner.run(change())


def reset_end(context, peer):
    end = context.sockets_by_peer[peer]
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    end.close()


@when("the {peer} resets the connection")
def reset_connection(context, peer):
    async def reset():
        reset_end(context, peer)
        await asyncio.sleep(SETTLE_S)

    context.asyncio_runner.run(reset())


@when(
    "the {peer} resets the connection {n_turns:d} turns of the loop before the proxy "
    'changes to "{mode}"'
)
def reset_just_before_change(context, peer, n_turns, mode):
    async def reset_and_change():
        reset_end(context, peer)
        for _ in range(n_turns):
            await asyncio.sleep(0)
        context.proxy.set_mode(Mode(mode))

    context.asyncio_runner.run(reset_and_change())


@then("the proxy closes without an error")
def close_proxy(context):
    context.asyncio_runner.run(context.proxy.close())
