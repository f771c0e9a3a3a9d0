"""A process that sends requests to a peer that floods it, and to a sound one.

Usage: ``flood_reader.py FLOOD_PORT SOUND_PORT N_REQUESTS READING``. It prints what
came of them as JSON. READING is ``body``, ``stream`` or ``paced stream``.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path

from damaskjunction.core import Address, LoopTimers, MemoryPart
from damaskjunction.core.units import MIB
from damaskjunction.http import (
    BrokenResponseError,
    HttpClient,
    RawEventParser,
    ReadPacer,
    ReceiveBudget,
)

BUDGET_BYTES = 16 * MIB
MAX_BODY_BYTES = 8 * MIB
REQUEST_TIMEOUT_S = 3.0
SOUND_INTERVAL_S = 0.02
PACE_S = 0.05
IDLE_S = 2.6  # until idle connections that can't be used are closed


def _memory_mb(field: str) -> float:
    lines = Path("/proc/self/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith(field))
    return int(line.split()[1]) / 1024


def _n_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


async def _read(
    client: HttpClient, address: Address, reading: str, pacer: ReadPacer
) -> str:
    """Return what came of a request: its end, an error or its timeout."""
    try:
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            response = await client.send(address, "GET", "/", stall_s=2.0)
            if reading == "body":
                await response.read(MAX_BODY_BYTES)
                return "whole"
            if reading == "paced stream":
                response.set_pacer(pacer)
            parser = RawEventParser()
            async for part in response.chunks():
                parser.feed(part)
                response.keep(parser.n_buffered)
            return "whole"
    except (BrokenResponseError, TimeoutError) as error:
        return type(error).__name__


async def _main(flooding: Address, sound: Address, n: int, reading: str) -> None:
    pacer = ReadPacer(LoopTimers(), PACE_S)
    client = HttpClient(LoopTimers(), budget=ReceiveBudget(MemoryPart(BUDGET_BYTES)))
    other_client = HttpClient(LoopTimers())
    sound_s = []

    async def use_sound_peer() -> None:
        while True:
            began_at_s = time.monotonic()
            response = await other_client.send(sound, "GET", "/")
            await response.read()
            sound_s.append(time.monotonic() - began_at_s)
            await asyncio.sleep(SOUND_INTERVAL_S)

    n_descriptors, memory_mb = _n_descriptors(), _memory_mb("VmRSS")
    user = asyncio.ensure_future(use_sound_peer())
    began_at_s = time.monotonic()
    outcomes = await asyncio.gather(
        *(_read(client, flooding, reading, pacer) for _ in range(n))
    )
    took_s = time.monotonic() - began_at_s
    if "whole" in outcomes:
        await asyncio.sleep(IDLE_S)
    await asyncio.sleep(2 * SOUND_INTERVAL_S)
    user.cancel()
    await asyncio.gather(user, return_exceptions=True)
    other_client.close()
    await asyncio.sleep(0)
    result = {
        "outcomes": sorted(set(outcomes)),
        "took_s": took_s,
        "n_sound": len(sound_s),
        "slowest_sound_s": max(sound_s, default=float("inf")),
        "more_memory_mb": _memory_mb("VmHWM") - memory_mb,
        "more_descriptors": _n_descriptors() - n_descriptors,
    }
    client.close()
    await asyncio.sleep(0)
    print(json.dumps(result))


if __name__ == "__main__":
    first, second = (Address("127.0.0.1", int(port)) for port in sys.argv[1:3])
    asyncio.run(_main(first, second, int(sys.argv[3]), sys.argv[4]))
