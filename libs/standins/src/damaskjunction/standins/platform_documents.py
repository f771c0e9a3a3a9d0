"""Builders for the documents of ``damaskjunction.gateway`` and its platform.

These are the configuration, a host's settings, jobs and request headers.
"""

from __future__ import annotations

import base64
import json
from collections.abc import Mapping, Sequence
from typing import Any

from damaskjunction.core import Address

READINESS_PATH = "/damaskjunction/readiness"

# Additional keys for ``make_route``, by the kind of route.
ONCE_ROUTE: Mapping[str, Any] = {"MaxAttempts": 1}
RETRYABLE_ROUTE: Mapping[str, Any] = {"MaxAttempts": 3}
RESUMABLE_ROUTE: Mapping[str, Any] = {
    "Resumable": True,
    "MaxAttempts": 3,
    "GapAimMs": 200,  # target interval between tokens
}
LONG_TIMEOUT: Mapping[str, Any] = {"TimeoutMs": 8000}
SHORT_IDLE_TIME: Mapping[str, Any] = {"IdleTimeoutMs": 2000}  # of callers
BATCH_ROUTE: Mapping[str, Any] = {
    "MaxAttempts": 3,
    "CompletionTargetMs": 20_000,
    "RetentionS": 300,
    "Cap": 100_000,  # maximum number of waiting tokens
}


def caller_headers(request_id: str, deadline_s: float) -> dict[str, str]:
    """Return a caller's headers; ``deadline_s`` is the time budget of the request."""
    return {"X-Request-Id": request_id, "X-Deadline-Ms": str(int(deadline_s * 1000))}


def make_resume_headers(request_id: str, last_event_id: int) -> dict[str, str]:
    """Return the headers that take a stream up after an event.

    ``request_id`` is that of the attempt which brought the first event.
    """
    return {"Resumes": request_id, "Last-Event-Id": str(last_event_id)}


def make_prompt_header(parts: Sequence[str]) -> dict[str, str]:
    """Return the header that lists the parts of a prompt, its own one last."""
    return {"X-Prompt-Prefix": ",".join(f"{part}:50" for part in parts)}


def make_results_request(
    job_id: str, after: int, wait_s: float
) -> tuple[str, dict[str, str]]:
    """Return target and headers of a request for a job's results.

    The results start at position ``after``; the host long-polls for up to ``wait_s``.
    """
    target = f"{job_path(job_id)}?After={after}"
    return target, {"X-Wait-Ms": str(int(wait_s * 1000))}


def job_path(job_id: str) -> str:
    """Return the URL path of a job."""
    return f"/damaskjunction/lots/{job_id}"


def make_route(
    name: str, host: str, prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    """Return a route for the configuration; ``more`` adds or overrides keys."""
    return {
        "Name": name,
        "Host": host,
        "PathPrefix": prefix,
        "Kind": kind,
        "Service": service,
        "TimeoutMs": 5000,
        "LatencyGoalMs": 400,
        "MaxAttempts": 2,
        **more,
    }


def make_configuration(
    version: int,
    routes: list[dict[str, Any]],
    *,
    engine: str,
    plain: str,
    slots: int = 2,
    limits: Mapping[str, Any] = {},
    workspaces: Sequence[Mapping[str, Any]] = (),
) -> dict[str, Any]:
    """Return a configuration with an engine service and a plain service."""
    engine_description = {"Slots": slots, "KvCapacity": 100_000}
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": engine, "Engine": engine_description}, {"Name": plain}],
        "Limits": limits,
        **({"Tenants": list(workspaces)} if workspaces else {}),
    }


def make_workspace(name: str, *keys: str, **more: Any) -> dict[str, Any]:
    """Return a workspace for the configuration; ``more`` adds keys of the format."""
    return {"Name": name, "ApiKeys": list(keys), **more}


def key_headers(key: str) -> dict[str, str]:
    """Return the header of a caller that has a workspace's key, none if it is empty."""
    return {"Authorization": f"Bearer {key}"} if key else {}


def make_settings_text(
    name: str,
    ip: str,
    data_centre: str,
    *,
    ports: Mapping[str, int],
    store: Address,
    stop_grace_s: float,
) -> str:
    """Return the text of a host's settings file.

    ``ports`` has the keys ``caller``, ``readiness``, ``directory`` and ``peer``; the
    host also gets the 9 ports after ``peer``.
    """
    lines = {
        "NodeName": name,
        "Ip": ip,
        "Zone": data_centre,
        "Region": "r1",
        f"Zones.{data_centre}": "r1",
        "Listen.Front": f"{ip}:{ports['caller']}",
        "Listen.Ready": f"{ip}:{ports['readiness']}",
        "Listen.Directory": f"{ip}:{ports['directory']}",
        "PortRange": f"{ports['peer']},{ports['peer'] + 9}",
        "Seeds": "",
        "Platform.Addr": str(store),
        "Bounds.GraceS": f"{stop_grace_s:g}",
    }
    return "".join(f"{key}={value}\n" for key, value in lines.items())


def make_job(
    job_id: str,
    n_items: int,
    *,
    path: str,
    tokens: int = 10,
    has_own_bodies: bool = False,
    headers: Mapping[str, str] = {},
) -> bytes:
    """Return the request body that submits a job of ``n_items`` items.

    The items have the ids ``JOB_ID-0``, ``JOB_ID-1`` and so on. Each states a count of
    ``tokens`` and a prompt of 2 parts, of which all items share the first. All have the
    same body, or their ids as bodies if ``has_own_bodies``. ``headers`` are further
    headers of each.
    """
    item_ids = [f"{job_id}-{number}" for number in range(n_items)]
    items = [
        {
            "Id": item_id,
            "Path": path,
            "Headers": {"X-Prompt-Prefix": f"a:5,{number}:5", **headers},
            "Body": _encode_body(item_id if has_own_bodies else "item"),
            "Tokens": tokens,
        }
        for number, item_id in enumerate(item_ids)
    ]
    return json.dumps({"Items": items}).encode()


def _encode_body(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def read_results(body: bytes) -> tuple[int, tuple[tuple[str, str, str], ...]]:
    """Return a job's number of items, and id, state and text of each result."""
    document = json.loads(body)
    results = tuple(
        (entry["Id"], entry["State"], entry["Text"]) for entry in document["Results"]
    )
    return document["Total"], results
