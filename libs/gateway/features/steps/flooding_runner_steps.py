"""Steps on runners whose answers never end, before a host in a process of its own."""

from __future__ import annotations

import asyncio
import itertools
import subprocess
import sys
import time
from pathlib import Path

from behave import given, then, when
from fleet_helpers import run
from own_process_fleet import HOST, PAUSE_S, OwnProcessFleet
from platform_fleet import ENGINE, PLAIN, make_configuration
from platform_fleet import ROUTES as FLEET_ROUTES

from damaskjunction.standins.runner import make_entry

FOLDER = Path(__file__).parent.parent
FAULTY, SOUND = "faulty", "sound"
SLOTS = 64
SERVICES = {"engine": ENGINE, "plain service": PLAIN}
FLOODED_S = 2.5
JOB, N_ITEMS = "flooded", 40
ROUTES = [
    {**route, "RetentionS": 300, "Cap": 100_000} if route["Name"] == "night" else route
    for route in FLEET_ROUTES
]


class FloodedFleet(OwnProcessFleet):
    """A fleet whose host, and whose faulty runner, are processes of their own."""

    def __init__(self, memory_mb):
        document = make_configuration(1, ROUTES)
        document["Services"][0]["Engine"]["Slots"] = SLOTS
        super().__init__(document, {"Limits.MemoryMb": memory_mb})
        self.faulty = None

    def start_faulty(self, service, flood):
        address = self._addresses.pop()
        self.faulty = subprocess.Popen(
            [sys.executable, FOLDER / "flooding_runner.py", str(address.port), flood],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.faulty.stdout.readline()
        entry = make_entry(service, address, SLOTS)
        self.store.put("servers", FAULTY, entry)

    def stop_faulty(self):
        """End the faulty runner; return how many requests it began to answer."""
        output, _ = self.faulty.communicate()
        self.store.remove("servers", FAULTY)
        return int(output)

    async def close(self):
        if self.faulty is not None and self.faulty.returncode is None:
            self.faulty.kill()
            self.faulty.communicate()
        await super().close()


@given("a host with {memory_mb:d} MB of memory, sound runners but for the {service}")
def start_host(context, memory_mb, service):
    context.platform = FloodedFleet(memory_mb)
    context.sound = PLAIN if SERVICES[service] == ENGINE else ENGINE

    async def work():
        await context.platform.start()
        options = {} if context.sound == PLAIN else {"slots": SLOTS}
        await context.platform.add_runner(SOUND, context.sound, **options)
        await context.platform.wait_until_served(context.sound)

    run(context, work())


@given("the {service} answers with {flood} without end")
def start_faulty(context, service, flood):
    context.platform.start_faulty(SERVICES[service], flood)
    run(context, asyncio.sleep(0.5))  # until the host knows it


async def ask_sound(context, end):
    """Ask the sound runner, one request after the other, until ``end`` is set."""
    context.sound_replies = []
    while not end.is_set():
        request_id = f"sound{len(context.sound_replies)}"
        context.sound_replies.append(
            await context.platform.ask(context.sound, request_id)
        )
        await asyncio.sleep(PAUSE_S)


async def ask_on(context, service, caller):
    """Ask again and again for ``FLOODED_S``; return the replies."""
    replies = []
    end_at_s = time.monotonic() + FLOODED_S
    while time.monotonic() < end_at_s:
        request_id = f"q{caller}-{len(replies)}"
        replies.append(await context.platform.ask(service, request_id))
        await asyncio.sleep(PAUSE_S)
    return replies


@when("{count:d} callers ask the {service} at once, and others ask a sound runner")
def ask_faulty(context, count, service):
    async def work():
        end = asyncio.Event()
        others = asyncio.ensure_future(ask_sound(context, end))
        callers = (
            ask_on(context, SERVICES[service], number) for number in range(count)
        )
        replies = await asyncio.gather(*callers)
        context.replies = list(itertools.chain.from_iterable(replies))
        end.set()
        await others

    run(context, work())


@when("a job of {count:d} items is submitted, others ask a sound runner for {s:g} s")
def submit_flooded(context, count, s):
    async def work():
        end = asyncio.Event()
        others = asyncio.ensure_future(ask_sound(context, end))
        reply = await context.platform.submit(HOST, JOB, count)
        assert reply.status == 202, reply
        await asyncio.sleep(s)
        end.set()
        await others

    run(context, work())


@then("each of the {count:d} gets no complete answer within {limit_s:g} s")
def check_no_answers(context, count, limit_s):
    assert context.platform.stop_faulty() >= count, "the runner was not asked enough"
    statuses = [status for status, _ in context.replies]
    assert 200 not in statuses, statuses
    assert max(took_s for _, took_s in context.replies) <= limit_s, context.replies


@then("each of the others is answered within {limit_s:g} s")
def check_others(context, limit_s):
    assert len(context.sound_replies) >= 3, context.sound_replies
    bad = [r for r in context.sound_replies if r[0] != 200 or r[1] > limit_s]
    assert not bad, f"{len(bad)} of {len(context.sound_replies)}, such as {bad[:5]}"


@then("the host has taken at most {limit:d} MB")
def check_host_memory(context, limit):
    assert context.platform.host.poll() is None, "the host has ended"
    peak_mb = context.platform.peak_memory_mb()
    print(f"peak of the host: {peak_mb:.0f} MB")
    assert peak_mb <= limit, peak_mb


@when("the engine is replaced by a sound one")
def replace_engine(context):
    context.platform.stop_faulty()
    run(context, context.platform.add_runner("sound2", ENGINE, slots=SLOTS))


@then("the job is done within {limit_s:g} s")
def check_done(context, limit_s):
    async def work():
        async with asyncio.timeout(limit_s):
            document = await context.platform.wait_for_results(HOST, JOB, N_ITEMS)
        states = {result["State"] for result in document["Results"]}
        assert states == {"completed"}, states

    run(context, work())
