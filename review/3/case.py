"""A batch job is refused with 503 at every attempt of its client, and then runs.

The store goes down: it accepts no more channels, does one write that still comes on an
open channel, resets all channels before it has answered, and is back after ``DOWN_S``.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from rig import Fleet, Runner, job_bytes, main, manifest, route

N_HOSTS = 3
DOWN_S = 4.5  # the sheet: platform_down, for_s = 4.5, how = "silent", "busy" or "reset"
CLIENT_DEADLINE_S = 4.0  # of fault-digest on the sheet
CLIENT_RETRIES = 1
JOB = "job-refused"


async def submit(fleet, record, host):
    status, headers, body = await fleet.call(
        host, "POST", "/night/1", {"X-Request-Id": JOB, "X-Deadline-Ms": "4000"},
        job_bytes(JOB, 10, "/night/1"), timeout_s=CLIENT_DEADLINE_S)
    record(f"{host} answers {status or 'nothing'} {body.decode()}")
    return status, float(headers.get("retry-after", "0.4"))


async def case(record, is_troubled):
    fleet = Fleet(record, N_HOSTS)
    store = fleet.store
    store.put("config", "main", manifest(3, [
        route("night", "/night/", "batch", "llm", CompletionTargetMs=18000,
              RetentionS=60, Cap=1500000, MaxAttempts=3, GapAimMs=200)]))
    runner = Runner("i-1", "llm", n_events=20)
    fleet.runners = [runner]
    await runner.start(store)
    watching = {}
    store.fault = lambda host, method, kind, name, is_watch: (
        watching.__setitem__(host, is_watch or watching.get(host, False)))
    try:
        await fleet.start()
        await asyncio.sleep(8.0)
        watching.clear()
        await asyncio.sleep(3.0)
        probing = [h for h in fleet.names if h in watching]
        others = [h for h in fleet.names if h not in watching]
        record(f"calls of the last 3 s came from {probing}")
        if not others or not probing:
            record("no host is without calls to the store")
            raise SystemExit(2)
        first = others[0]
        second = next(h for h in fleet.names if h != first)
        store.fault = lambda *call: None
        down_since = None

        def done(host, method, kind, name, status):
            if name != JOB:
                return
            record(f"store: {method} {kind}/{name} of {host}: {status}")
            if down_since is not None and method == "POST":
                store.reset_all()
                record("the store is down: all channels are reset")

        store.done = done
        if is_troubled:
            down_since = time.monotonic()
            await store.stop_listening()
            for host in others:
                store.reset_host(host)  # channels that are idle
            record("the store goes down: it accepts no more channels")
        statuses = []
        attempt, retry_after_s = await submit(fleet, record, first)
        statuses.append(attempt)
        for _ in range(CLIENT_RETRIES):
            if statuses[-1] == 202:
                break
            await asyncio.sleep(retry_after_s)
            attempt, retry_after_s = await submit(fleet, record, second)
            statuses.append(attempt)
        if is_troubled:
            await asyncio.sleep(max(0.0, down_since + DOWN_S - time.monotonic()))
            down_since = None
            await store.listen_again()
            record("the store is back")
        await asyncio.sleep(10.0)
        ran = sorted({run[1] for run in runner.runs})
        record(f"the client was answered {statuses}")
        record(f"items that ran: {ran}")
        is_refused = all(status in (429, 503, 408, 421) for status in statuses)
        return not (is_refused and ran)
    finally:
        await fleet.close()


main(case, os.path.dirname(os.path.abspath(__file__)))
