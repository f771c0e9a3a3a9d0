"""Steps of the feature on peers that send without end."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from server_steps import run

from damaskjunction.core import Address, MemoryPart
from damaskjunction.http import BrokenResponseError, DirectConnector, ReceiveBudget

FOLDER = Path(__file__).parent.parent
READER_TIMEOUT_S = 60.0


@given("a peer that answers each request with {flood} without end")
def choose_flood(context, flood):
    context.flood = flood


@when("{n:d} requests are sent to it at once, and others to a sound peer")
def send_requests(context, n):
    is_stream = "event" in context.flood
    flood(context, n, "stream" if is_stream else "body")


@when("{n:d} paced requests are sent to it at once, and others to a sound peer")
def send_paced_requests(context, n):
    flood(context, n, "paced stream")


def start_peer(context):
    """Start the peer's process; return it and its two ports."""
    peer = subprocess.Popen(
        [sys.executable, FOLDER / "flood_peer.py", context.flood],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    return peer, peer.stdout.readline().split()


def flood(context, n, reading):
    peer, ports = start_peer(context)
    with peer:
        reader = subprocess.run(
            [sys.executable, FOLDER / "flood_reader.py", *ports, str(n), reading],
            capture_output=True,
            text=True,
            timeout=READER_TIMEOUT_S,
            check=False,
        )
        peer.stdin.close()
    assert reader.returncode == 0, reader.stderr[-2000:]
    context.result = json.loads(reader.stdout)


@then("each of the {n:d} is given up within {limit_s:g} s")
def check_given_up(context, n, limit_s):
    assert "whole" not in context.result["outcomes"], context.result
    assert context.result["took_s"] <= limit_s, context.result


@then("each request to the sound peer is answered within {limit_s:g} s")
def check_served(context, limit_s):
    assert context.result["n_sound"] > 0, context.result
    assert context.result["slowest_sound_s"] <= limit_s, context.result


@then("the process has taken at most {limit:d} MB of memory more")
def check_memory(context, limit):
    assert context.result["more_memory_mb"] <= limit, context.result


@then("the connections to the peer are closed within {limit_s:g} s")
def check_closed(context, limit_s):
    # The reader waits for less than the limit before it counts.
    assert context.result["more_descriptors"] <= 1, context.result


@when("a request is sent to it and the response is not read for {duration_s:g} s")
def leave_unread(context, duration_s):
    async def work(port):
        opened = await DirectConnector(1.0).connect(Address("127.0.0.1", int(port)))
        opened.writer.write(b"GET / HTTP/1.1\r\n\r\n")
        await asyncio.sleep(duration_s)
        context.n_held = len(opened.reader._buffer)
        opened.writer.transport.abort()

    peer, ports = start_peer(context)
    with peer:
        run(context, work(ports[0]))
        peer.stdin.close()


@then("the connection holds at most {limit:d} bytes")
def check_held(context, limit):
    assert 0 < context.n_held <= limit, context.n_held


# The budget


def keep(context, n_bytes, peer="a"):
    revoked = []
    kept = context.budget.open(lambda: revoked.append(n_bytes), peer)
    context.revoked.append(revoked)
    try:
        kept.resize(n_bytes)
    except BrokenResponseError:
        assert revoked
    return kept


@given("a budget of {limit:d} bytes of which responses keep {sizes}")
def make_budget(context, limit, sizes):
    context.budget = ReceiveBudget(MemoryPart(limit))
    context.revoked = []
    context.kept = [keep(context, int(size)) for size in sizes.split(",")]


@given("a budget of {limit:d} bytes of which responses of a sound peer keep {size:d}")
def make_budget_of_sound_peer(context, limit, size):
    context.budget = ReceiveBudget(MemoryPart(limit))
    context.revoked = []
    context.kept = [keep(context, size, "sound")]


@when("{count:d} responses of a faulty peer keep {size:d} bytes more each")
def keep_many(context, count, size):
    for _ in range(count):
        keep(context, size, "faulty")


@then("none of the sound peer's is given up")
def check_sound_kept(context):
    assert not context.kept[0].is_revoked


@when("another response keeps {size:d}")
def keep_more(context, size):
    keep(context, size)


@when("the first response is read to its end")
def end_first(context):
    context.kept[0].close()


@then("the responses that are given up kept {sizes}")
def check_revoked(context, sizes):
    expected = [] if sizes == "none" else [int(size) for size in sizes.split(",")]
    revoked = [size for sizes in context.revoked for size in sizes]
    assert revoked == expected, revoked


@then("at most {limit:d} bytes are counted as kept")
def check_counted(context, limit):
    assert context.budget.n_bytes <= limit, context.budget.n_bytes
