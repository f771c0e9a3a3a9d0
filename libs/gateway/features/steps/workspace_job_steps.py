"""Steps of the feature on the batch jobs of workspaces."""

from __future__ import annotations

import json
from types import SimpleNamespace

from behave import given, then, when
from fake_homes import make_host
from fake_store import FakeStore
from fleet_helpers import run, set_faults
from job_worker_steps import make_items, make_record
from workspace_steps import assert_told, put_workspaces, wait_for_version

from damaskjunction.core import ManualTimers, WorkspaceSpec
from damaskjunction.gateway.jobs.job_front import JobFront
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.node import HostView
from damaskjunction.platform import CallerRequest
from damaskjunction.routing import Caller, Route, RouteKind
from damaskjunction.standins import job_path, key_headers, make_job

OWN_HEADERS = {"Authorization": "Bearer k2", "X-Tenant": "buggies"}


def submit(context, key, job_id, count, host, *, path="/night/", **options):
    body = make_job(job_id, count, path=f"{path}x", **options)
    call = context.platform.call(
        host, "POST", path, body=body, headers=key_headers(key), request_id=job_id
    )
    context.reply = run(context, call)


@when('the key "{key}" submits the job "{job_id}" of {count:d} items at "{host}"')
def submit_job(context, key, job_id, count, host):
    submit(context, key, job_id, count, host)


@when(
    'the key "{key}" submits the job "{job_id}" of {count:d} items with own keys at '
    '"{host}"'
)
def submit_with_headers(context, key, job_id, count, host):
    submit(context, key, job_id, count, host, headers=OWN_HEADERS)


@when('the key "{key}" submits the job "{job_id}" of {tokens:d} tokens at "{host}"')
def submit_tokens(context, key, job_id, tokens, host):
    submit(context, key, job_id, 2, host, tokens=tokens // 2)


@when(
    'no key submits the job "{job_id}" of {count:d} items on the public route at "h0"'
)
def submit_public(context, job_id, count):
    submit(context, "", job_id, count, "h0", path="/open-night/")


@when('the operator takes the key "{key}" away')
def take_away(context, key):
    names = context.keys_by_name.items()
    put_workspaces(context, 3, {n: [k for k in keys if k != key] for n, keys in names})
    wait_for_version(context, 3)


@when("all engines have free slots again")
def free_engines(context):
    set_faults(context, "full", 0)


@then('the key "{key}" finds {count:d} results of "{job_id}" at each host')
def check_results(context, key, count, job_id):
    async def count_results(host):
        path, headers = job_path(job_id), key_headers(key)
        reply = await context.platform.call(host, "GET", path, headers=headers)
        return len(json.loads(reply.body)["Results"]) if reply.status == 200 else 0

    async def work():
        for host in context.platform.hosts:
            while await count_results(host) < count:
                pass

    run(context, work())


@then(
    'the runners were told the workspace "{workspace}" for each item of "{job_id}", '
    "and no key"
)
def check_items(context, workspace, job_id):
    told = [
        (runner, request_id)
        for runner in context.platform.runners.values()
        for request_id in runner.headers_by_request
        if request_id.startswith(f"{job_id}-")
    ]
    assert told
    for runner, request_id in told:
        assert_told(runner, request_id, workspace)


@then("the calls on jobs are answered as follows at each host")
def check_calls(context):
    async def call(host, row, method, path):
        headers = key_headers("" if row["key"] == "none" else row["key"])
        return await context.platform.call(host, method, path, headers=headers)

    async def work():
        for row in context.table:
            job_id = row["job"]
            calls = {
                "reads": ("GET", job_path(job_id)),
                "item": ("GET", f"/damaskjunction/items/{job_id}?Id={job_id}-0"),
                "end": ("DELETE", job_path(job_id)),
            }
            for name, (method, path) in calls.items():
                for host in context.platform.hosts if row[name] else ():
                    reply = await call(host, row, method, path)
                    assert str(reply.status) == row[name], (row, name, host, reply)

    run(context, work())


# Beside a host that accepts the same job


@given('a job of "{owner}" that another host has just accepted')
def accept_elsewhere(context, owner):
    context.store = FakeStore()
    workspace = "" if owner == "none" else owner
    record = make_record("j1", ["i1"])._replace(workspace=workspace)
    run(context, JobRepository(context.store).accept(record, make_items(["i1"])))


@when('the same job comes from "{workspace}" to a host that has not heard of it')
def submit_again(context, workspace):
    body = make_job("j1", 1, path="/night/x")
    request = CallerRequest(
        "j1", "POST", "/night/", "/night/", "h", None, (), 0, None, {}, body
    )
    route = Route("night", "h", "/", RouteKind.BATCH, (), 5, 1)
    state = SimpleNamespace(view=HostView(make_host(1, "own")))
    jobs = JobRepository(context.store)
    front = JobFront(jobs, None, None, state=state, timers=ManualTimers())
    caller = Caller(WorkspaceSpec(workspace))
    context.response = run(context, front.submit(request, route, caller))
