"""A request whose path no manifest routes is run by a service, and answered 200.

The target begins with two slashes: the host takes what follows them for the name of a
server, drops it, and routes by the rest; the runner gets the target as it was sent.
"""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from rig import Fleet, Runner, main, manifest, route

N_HOSTS = 3
N_REQUESTS = 6


async def case(record, is_troubled):
    fleet = Fleet(record, N_HOSTS)
    store = fleet.store
    routes = [
        route("alert", "/pace/", "non_idempotent", "alerts"),
        route("site", "/shop/", "idempotent", "web", MaxAttempts=2),
    ]
    store.put("config", "main", manifest(3, routes, engines=(), plain=("alerts", "web")))
    alerts, web = Runner("i-1", "alerts"), Runner("i-2", "web")
    fleet.runners = [alerts, web]
    for runner in fleet.runners:
        await runner.start(store)
    prefixes = {"alerts": "/pace/", "web": "/shop/"}
    try:
        await fleet.start()
        await asyncio.sleep(3.0)
        for number in range(N_REQUESTS):
            host = fleet.names[number % N_HOSTS]
            # Neither path begins with a prefix of a route; the pages say 404 to both.
            target = f"//shop/pace/{number}" if is_troubled else f"/none/pace/{number}"
            status, headers, _ = await fleet.call(
                host, "POST", target,
                {"X-Request-Id": f"q{number}", "X-Deadline-Ms": "2000"}, b"alert")
            record(f"q{number} {target} by {host}: {status} "
                   f"stamp {headers.get('x-response-stamp')}")
        for name, prefix in prefixes.items():
            status, _, _ = await fleet.call(
                fleet.names[0], "POST", f"{prefix}1",
                {"X-Request-Id": f"sound-{name}", "X-Deadline-Ms": "2000"}, b"?")
            record(f"sound-{name} {prefix}1: {status}")
        wrong = []
        for runner in fleet.runners:
            for _, request_id, path, *_ in runner.runs:
                record(f"service {runner.service} ran {request_id} {path}")
                if not path.startswith(prefixes[runner.service]):
                    wrong.append(request_id)
        record(f"run by a service though no manifest allows it: {wrong}")
        return not wrong
    finally:
        await fleet.close()


main(case, os.path.dirname(os.path.abspath(__file__)))
