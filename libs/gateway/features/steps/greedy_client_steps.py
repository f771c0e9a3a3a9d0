"""Steps on clients that take no heed of what they cost a host."""

from __future__ import annotations

import json

from behave import given, then, when
from fleet_helpers import run
from own_process_fleet import HOST, PATHS, OwnProcessFleet
from platform_fleet import PLAIN, ROUTES, make_configuration

from damaskjunction.core import Address
from damaskjunction.core.units import KIB, MIB
from damaskjunction.standins import make_job
from damaskjunction.standins.greedy_crowd import (
    SHORT_BYTES,
    SMALL_PIECE_BYTES,
    GreedyCrowd,
    ask_whole,
    body_in_chunks,
    body_with_length,
    frame_short_of_its_end,
    large_head,
    requests_ahead,
    wait_until_at_rest,
)
from damaskjunction.wire.channel import Operation, frame_bytes
from damaskjunction.wire.codec import Frame

HEADER_BYTES = 8192
N_ITEMS = 20  # of a large job
SMALL_BYTES = 15_000  # of a body that needs no room
SMALL_CHUNKS_S = 15.0  # in which a crowd sends bodies in small chunks
PART_OF_HEAD = b"GET / HTTP/1.1\r\nX-Part: "
WAYS = {"with a length": body_with_length, "in chunks": body_in_chunks}


@given(
    "a host with {memory_mb:d} MB of memory and {n_fds:d} descriptors, and bodies of "
    "{body_mb:d} MB"
)
def start_host(context, memory_mb, n_fds, body_mb, routes=ROUTES):
    context.memory_mb, context.n_fds = memory_mb, n_fds
    context.crowds = []
    document = make_configuration(1, routes)
    document["Limits"] = {"HeaderBytes": HEADER_BYTES, "BodyBytes": body_mb * MIB}
    settings = {"Limits.MemoryMb": memory_mb, "Limits.MaxFds": n_fds}
    context.platform = OwnProcessFleet(document, settings)

    async def work():
        await context.platform.start()
        await context.platform.add_runner("sound", PLAIN, slots=8)
        await context.platform.wait_until_served(PLAIN)

    run(context, work())


@given(
    "a host with {memory_mb:d} MB of memory and {n_fds:d} descriptors, and no cap on "
    "jobs"
)
def start_host_without_cap(context, memory_mb, n_fds):
    routes = [{**route, "Cap": 0} for route in ROUTES]
    start_host(context, memory_mb, n_fds, 2, routes)


def send_at_once(context, address, clients, seconds=None):
    """Let a client send each of the streams of pieces, all at the same time."""
    if isinstance(address, str):
        address = getattr(context.platform.settings[HOST], address)
    crowd = GreedyCrowd(address)
    context.add_cleanup(crowd.close)
    context.crowds.append(crowd)

    async def work():
        if seconds is None:
            await crowd.send(clients)
        else:
            await crowd.send_for(seconds, clients)
        await wait_until_at_rest(context.platform.host.pid)

    run(context, work())


@when('{count:d} clients send requests ahead to the {address} for "{path}"')
def send_ahead(context, count, address, path):
    send_at_once(context, address, [requests_ahead(path) for _ in range(count)])


@when("{count:d} clients send all but the end of a body of {body_mb:d} MB {way}")
def send_short(context, count, body_mb, way):
    bodies = [WAYS[way](PATHS[PLAIN], body_mb * MIB, SHORT_BYTES) for _ in range(count)]
    send_at_once(context, "caller", bodies)


@when("{count:d} clients send a body of {body_mb:d} MB {way}")
def send_whole(context, count, body_mb, way):
    bodies = [WAYS[way](PATHS[PLAIN], body_mb * MIB, 0) for _ in range(count)]
    send_at_once(context, "caller", bodies)


@when(
    "{count:d} clients stop short of the end of a body of {body_mb:d} MB in chunks of "
    '{chunk_bytes:d} bytes to "{path}"'
)
def send_small_chunks(context, count, body_mb, chunk_bytes, path):
    n_bytes = body_mb * MIB
    bodies = [
        body_in_chunks(
            path, n_bytes, SHORT_BYTES, chunk_bytes, piece_bytes=SMALL_PIECE_BYTES
        )
        for _ in range(count)
    ]
    send_at_once(context, "caller", bodies, SMALL_CHUNKS_S)


@given("the runner answers nothing")
def mute_runner(context):
    context.platform.runners["sound"].faults["mute"] = True


@when("the clients leave and the runner answers again")
def end_crowds(context):
    for crowd in context.crowds:
        crowd.close()
    context.platform.runners["sound"].faults["mute"] = False
    run(context, wait_until_at_rest(context.platform.host.pid))


@when("{count:d} clients send a small body and wait")
def send_small(context, count):
    bodies = [body_with_length(PATHS[PLAIN], SMALL_BYTES, 0) for _ in range(count)]
    send_at_once(context, "caller", bodies)


@when("{count:d} clients connect to the {address} address and send part of a head")
def send_part(context, count, address):
    send_at_once(context, address, [[PART_OF_HEAD] for _ in range(count)])


@when("{count:d} jobs of {size_kb:d} KB are submitted, one after another")
def submit_jobs(context, count, size_kb):
    async def work():
        context.statuses = []
        for number in range(count):
            body = make_large_job(f"j{number}", size_kb * KIB)
            reply = await context.platform.call(
                HOST, "POST", "/night/", body=body, request_id=f"j{number}"
            )
            context.statuses.append(reply.status)

    run(context, work())


@when("{count:d} jobs of {n_items:d} small items are submitted, one after another")
def submit_small_jobs(context, count, n_items):
    async def work():
        context.statuses = []
        for number in range(count):
            reply = await context.platform.submit(HOST, f"j{number}", n_items)
            context.statuses.append(reply.status)

    run(context, work())


@when("{count:d} documents of {size_mb:d} MB of empty lists come as jobs")
def send_empty_lists(context, count, size_mb):
    entries = b",".join([b"[]"] * (size_mb * MIB // 3 - 10))
    body = b'{"Items":[%b]}' % entries

    async def work():
        for number in range(count):
            await context.platform.call(
                HOST, "POST", "/night/", body=body, request_id=f"e{number}"
            )

    run(context, work())


@when("{count:d} peers send all but the end of a frame of {frame_mb:d} MB")
def send_frames(context, count, frame_mb):
    n_bytes = frame_mb * MIB
    send_to_peer_port(context, [frame_short_of_its_end(n_bytes) for _ in range(count)])


@when("{count:d} peers connect and send one byte")
def send_one_byte(context, count):
    send_to_peer_port(context, [[b"\0"] for _ in range(count)])


@when(
    "{count:d} peers send {n_calls:d} calls of {size_kb:d} KB of an unknown kind, and "
    "read nothing"
)
def send_calls(context, count, n_calls, size_kb):
    calls = [
        frame_bytes(Frame(number, Operation.CALL, "x" * size_kb * KIB))
        for number in range(n_calls)
    ]
    send_to_peer_port(context, [calls for _ in range(count)])


def send_to_peer_port(context, clients):
    settings = context.platform.settings[HOST]
    send_at_once(context, Address(settings.ip, settings.peer_port), clients)


def make_large_job(job_id, n_bytes):
    document = json.loads(make_job(job_id, N_ITEMS, path="/night/x"))
    for item in document["Items"]:
        item["Body"] = "AAAA" * (n_bytes // N_ITEMS // 4)
    return json.dumps(document).encode()


@then("those that were not accepted were refused with status {status:d}")
def check_refused(context, status):
    assert set(context.statuses) == {202, status}, context.statuses


@then("a job of {count:d} small items is accepted")
def check_small_job(context, count):
    reply = run(context, context.platform.submit(HOST, "small", count))
    assert reply.status == 202, reply


@then("the host is within its memory and half of its descriptors")
def check_bounds(context):
    check_limits(context, context.n_fds / 2)


@then("the host is within its memory and its descriptors")
def check_limits(context, max_open=None):
    max_open = max_open or context.n_fds
    platform = context.platform
    assert platform.host.poll() is None, "the host has ended"
    peak_mb, n_open = platform.peak_memory_mb(), platform.n_descriptors()
    print(f"peak memory {peak_mb:.0f} MB, {n_open} descriptors")
    assert peak_mb <= context.memory_mb, peak_mb
    assert n_open <= max_open, n_open


@then("an ordinary request and a readiness probe are answered")
def check_ordinary(context):
    reply = run(
        context,
        context.platform.call(HOST, "POST", PATHS[PLAIN], request_id="ordinary"),
    )
    assert reply.status == 200 and reply.is_complete, reply
    readiness = run(context, context.platform.fetch_readiness(HOST))
    assert readiness == 200, readiness
    assert context.platform.host.poll() is None, "the host has ended"


@when("a single request comes with {size}")
def send_single(context, size):
    if size.startswith("headers"):
        pieces = large_head(PATHS[PLAIN], int(size.split()[2]))
    else:
        words = size.split()
        n_bytes = int(words[3]) * MIB
        if words[-1] == "bytes":
            pieces = body_in_chunks(PATHS[PLAIN], n_bytes, 0, int(words[-2]))
        elif words[-1] == "chunks":
            pieces = body_in_chunks(PATHS[PLAIN], n_bytes, 0)
        else:
            pieces = body_with_length(PATHS[PLAIN], n_bytes, 0)
    address = context.platform.settings[HOST].caller
    context.status = run(context, ask_whole(address, pieces))


@then("it is answered with status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status
