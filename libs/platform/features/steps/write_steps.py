"""Steps of the feature on writes to the platform."""

from __future__ import annotations

from behave import given, then, when

from damaskjunction.core import (
    LoopTimers,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from damaskjunction.http import HttpServer, Response
from damaskjunction.platform import DirectTransport, PlatformClient, StoreClient
from damaskjunction.standins import allocate_addresses
from damaskjunction.standins.scenarios import run


@given("a platform that answers writes with status {status:d}")
def start_platform(context, status):
    async def handle(request):
        await request.body.read()
        return Response(404 if request.method == "GET" else status, b"no JSON")

    (context.address,) = allocate_addresses(1)
    context.server = HttpServer(context.address, handle)
    run(context, context.server.start())


async def find_effect(write):
    try:
        await write
    except PlatformUnavailableError:
        return "none"
    except PlatformUnknownError:
        return "unknown"
    return "taken"


@when("an object is created in the store")
def create_object(context):
    async def act():
        transport = DirectTransport(context.address, LoopTimers())
        store = StoreClient(transport)
        effect = await find_effect(store.create("jobs", "a", {}))
        transport.close()
        return effect

    context.effect = run(context, act())


@when("an object is put through the object API")
def put_object(context):
    async def act():
        client = PlatformClient(context.address, LoopTimers())
        write = client.put("jobs", "a", b"{}", expected_version=0, operation_id="w1")
        effect = await find_effect(write)
        client.close()
        return effect

    context.effect = run(context, act())


@then("the effect of the write is {effect}")
def check_effect(context, effect):
    assert context.effect == effect, context.effect
