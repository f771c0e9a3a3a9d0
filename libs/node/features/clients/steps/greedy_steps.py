"""Steps on clients and peers that take no heed of what they cost a host."""

from __future__ import annotations

import os
from pathlib import Path

from behave import given, then, when

from damaskjunction.core.units import KIB, MIB
from damaskjunction.standins.deployed_fleet import DeployedFleet
from damaskjunction.standins.deployment import CALLER_KEY, deployments
from damaskjunction.standins.greedy_crowd import (
    SHORT_BYTES,
    SMALL_PIECE_BYTES,
    GreedyCrowd,
    ask_whole,
    body_in_chunks,
    body_with_length,
    frame_short_of_its_end,
    requests_ahead,
    wait_until_at_rest,
)
from damaskjunction.standins.scenarios import AUTHORIZATION, run, start_and_configure

CALL_PATH = "/v1/services/fleet-api/call/battery/7"
GENERATE_PATH = "/v1/services/caddie-llm/generate"
KEY_HEADER = f"Authorization: Bearer {CALLER_KEY}\r\n"
SMALL_CHUNKS_S = 15.0  # in which a crowd sends bodies in small chunks


@given("a host with {memory_mb:d} MB of memory and {n_fds:d} descriptors")
def start_host(context, memory_mb, n_fds):
    context.memory_mb, context.n_fds = memory_mb, n_fds
    settings = {"memory_mb": memory_mb, "max_descriptors": n_fds}
    deployment = deployments.get("small")._replace(n_hosts=1)
    context.deployed = DeployedFleet(deployment, host_settings=settings)
    run(context, start_and_configure(context.deployed))
    context.host_id, context.host = next(iter(context.deployed.hosts_by_id.items()))
    context.process_id = context.deployed.fleet.pid_of(context.host_id)
    context.status_path = Path(f"/proc/{context.process_id}")


def send_at_once(context, address, clients, seconds=None):
    """Let a client send each of the streams of pieces, all at the same time."""
    crowd = GreedyCrowd(address)
    context.add_cleanup(crowd.close)

    async def work():
        if seconds is None:
            await crowd.send(clients)
        else:
            await crowd.send_for(seconds, clients)
        await wait_until_at_rest(context.process_id)

    run(context, work())


def make_body(way, n_bytes, n_short):
    if way == "with a length":
        return body_with_length(CALL_PATH, n_bytes, n_short, KEY_HEADER)
    words = way.split()
    chunk_bytes = int(words[3]) if len(words) > 3 else KIB
    piece_bytes = max(SMALL_PIECE_BYTES, chunk_bytes)
    return body_in_chunks(
        CALL_PATH,
        n_bytes,
        n_short,
        chunk_bytes,
        piece_bytes=piece_bytes,
        headers=KEY_HEADER,
    )


@when("{count:d} clients send all but the end of a body of {body_mb:d} MB {way}")
def send_short(context, count, body_mb, way):
    bodies = [make_body(way, body_mb * MIB, SHORT_BYTES) for _ in range(count)]
    seconds = SMALL_CHUNKS_S if way.endswith("bytes") else None
    send_at_once(context, context.host.caller, bodies, seconds)


@when('{count:d} clients send requests ahead for "{path}"')
def send_ahead(context, count, path):
    requests = [requests_ahead(path) for _ in range(count)]
    send_at_once(context, context.host.caller, requests)


@when("{count:d} clients connect to the {port} port and send one byte")
def send_one_byte(context, count, port):
    send_at_once(context, getattr(context.host, port), [[b"G"] for _ in range(count)])


@when("{count:d} peers send all but the end of a frame of {frame_mb:d} MB")
def send_frames(context, count, frame_mb):
    frames = [frame_short_of_its_end(frame_mb * MIB) for _ in range(count)]
    send_at_once(context, context.host.peer, frames)


@when("{count:d} documents of {size_mb:d} MB of empty lists are sent to be generated")
def send_documents(context, count, size_mb):
    body = b"[%b]" % b",".join([b"[]"] * (size_mb * MIB // 3 - 10))

    async def work():
        for _ in range(count):
            await context.deployed.fleet.call(
                context.host_id,
                "POST",
                GENERATE_PATH,
                body=body,
                headers=AUTHORIZATION,
            )

    run(context, work())


@when("a single call comes with a body of {body_mb:d} MB {way}")
def send_single(context, body_mb, way):
    pieces = make_body(way, body_mb * MIB, 0)
    context.status = run(context, ask_whole(context.host.caller, pieces))


@then("it is answered with status {status:d}")
def check_status(context, status):
    assert context.status == status, context.status


@then("the host is within its memory and half of its descriptors")
def check_bounds(context):
    assert context.deployed.fleet.is_running(context.host_id), "the host has ended"
    lines = (context.status_path / "status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmHWM"))
    peak_mb = int(line.split()[1]) / 1024
    n_open = len(os.listdir(context.status_path / "fd"))
    print(f"peak memory {peak_mb:.0f} MB, {n_open} descriptors")
    assert peak_mb <= context.memory_mb, peak_mb
    assert n_open <= context.n_fds / 2, n_open


@then("an ordinary call is answered")
def check_ordinary(context):
    async def ask():
        return await context.deployed.fleet.call(
            context.host_id, "POST", CALL_PATH, body=b"x", headers=AUTHORIZATION
        )

    reply = run(context, ask())
    assert reply.status == 200, reply
    assert context.deployed.fleet.is_running(context.host_id), "the host has ended"
