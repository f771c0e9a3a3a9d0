"""Requests reach a runner later than ``DrainMs`` after its entry was removed.

The store was down for ``DOWN_S``, and has been stable again for over ``ContactMs`` when
the runner leaves. It reports no ``draining``: its entry is removed.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from rig import Fleet, Runner, main, manifest, route

N_HOSTS = 3
DOWN_S = 4.5  # the sheet: platform_down, for_s = 4.5, how = "silent"
CONTACT_S, DRAIN_S = 3.0, 2.0  # of the bounds of a small deployment
LEAVES_AFTER_S = CONTACT_S + 0.4  # the end of the outage
PERIOD_S = 0.04


async def case(record, is_troubled):
    fleet = Fleet(record, N_HOSTS)
    store = fleet.store
    store.put("config", "main", manifest(3, [
        route("alert", "/pace/", "non_idempotent", "api")], engines=()))
    leaving, staying = Runner("i-leaving", "api"), Runner("i-staying", "api")
    fleet.runners = [leaving, staying]
    for runner in fleet.runners:
        await runner.start(store)
    is_down = False
    store.fault = lambda *call: ("silent",) if is_down else None
    store.loses_answer = lambda *call: is_down
    asks, answers = [], {}

    async def ask(host, request_id):
        status, _, _ = await fleet.call(
            host, "POST", f"/pace/{request_id}",
            {"X-Request-Id": request_id, "X-Deadline-Ms": "1000"}, b"!", timeout_s=1.5)
        answers[request_id] = status

    async def send_until(end_s):
        while time.monotonic() < end_s:
            for host in fleet.names:
                asks.append(asyncio.ensure_future(ask(host, f"q{len(asks)}")))
            await asyncio.sleep(PERIOD_S)

    try:
        await fleet.start()
        await asyncio.sleep(6.0)
        if is_troubled:
            is_down = True
            record("the store is down: it answers nothing")
        await asyncio.sleep(DOWN_S)
        if is_troubled:
            is_down = False
            record("the store is back")
        await asyncio.sleep(LEAVES_AFTER_S)
        store.remove("servers", leaving.runner_id)
        removed_at_s = time.monotonic()
        record(f"the entry of {leaving.runner_id} is removed")
        await send_until(removed_at_s + 3.5)
        await asyncio.gather(*asks)
        reached_s = [run[0] - removed_at_s for run in leaving.runs]
        late = [run for run in leaving.runs if run[0] - removed_at_s > DRAIN_S]
        for run in late:
            record(f"{run[1]} reached {leaving.runner_id} {run[0] - removed_at_s:.3f} s "
                   f"after its entry was removed, and was answered {answers[run[1]]}")
        record(f"{len(asks)} requests sent, {len(leaving.runs)} of them to "
               f"{leaving.runner_id}, the last {max(reached_s, default=0.0):.3f} s after "
               f"its removal; {len(late)} later than {DRAIN_S} s")
        return not late
    finally:
        await fleet.close()


main(case, os.path.dirname(os.path.abspath(__file__)))
