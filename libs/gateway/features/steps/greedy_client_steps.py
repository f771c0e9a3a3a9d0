"""Steps on clients that take no heed of what they cost a host."""

from __future__ import annotations

import json

from behave import given, then, when
from fleet_helpers import run
from greedy_crowd import (
    SHORT_BYTES,
    GreedyCrowd,
    ask_whole,
    body_in_chunks,
    body_with_length,
    large_head,
    requests_ahead,
)
from own_process_fleet import HOST, PATHS, OwnProcessFleet
from platform_fleet import PLAIN, ROUTES, make_configuration

from damaskjunction.core.units import KIB, MIB
from damaskjunction.standins import make_job

HEADER_BYTES = 8192
N_ITEMS = 20  # of a large job
PART_OF_HEAD = b"GET / HTTP/1.1\r\nX-Part: "
WAYS = {"with a length": body_with_length, "in chunks": body_in_chunks}


@given(
    "a host with {memory_mb:d} MB of memory and {n_fds:d} descriptors, and bodies of "
    "{body_mb:d} MB"
)
def start_host(context, memory_mb, n_fds, body_mb):
    context.memory_mb, context.n_fds = memory_mb, n_fds
    document = make_configuration(1, ROUTES)
    document["Limits"] = {"HeaderBytes": HEADER_BYTES, "BodyBytes": body_mb * MIB}
    settings = {"Limits.MemoryMb": memory_mb, "Limits.MaxFds": n_fds}
    context.platform = OwnProcessFleet(document, settings)

    async def work():
        await context.platform.start()
        await context.platform.add_runner("sound", PLAIN, slots=8)
        await context.platform.wait_until_served(PLAIN)

    run(context, work())


def send_at_once(context, address, clients):
    """Let a client send each of the streams of pieces, all at the same time."""
    crowd = GreedyCrowd(getattr(context.platform.settings[HOST], address))
    context.add_cleanup(crowd.close)

    async def work():
        await crowd.send(clients)
        await context.platform.wait_until_at_rest()

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
    platform = context.platform
    assert platform.host.poll() is None, "the host has ended"
    peak_mb, n_open = platform.peak_memory_mb(), platform.n_descriptors()
    print(f"peak memory {peak_mb:.0f} MB, {n_open} descriptors")
    assert peak_mb <= context.memory_mb, peak_mb
    assert n_open <= context.n_fds / 2, n_open


@then("an ordinary request and a readiness probe are answered")
def check_ordinary(context):
    status, _ = run(context, context.platform.ask(PLAIN, "ordinary"))
    assert status == 200, status
    readiness = run(context, context.platform.fetch_readiness(HOST))
    assert readiness == 200, readiness
    assert context.platform.host.poll() is None, "the host has ended"


@when("a single request comes with {size}")
def send_single(context, size):
    if size.startswith("headers"):
        pieces = large_head(PATHS[PLAIN], int(size.split()[2]))
    else:
        make_body = body_in_chunks if size.endswith("chunks") else body_with_length
        pieces = make_body(PATHS[PLAIN], int(size.split()[3]) * MIB, 0)
    address = context.platform.settings[HOST].caller
    context.status = run(context, ask_whole(address, pieces))


@then("it is answered with status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status
