"""Steps of the feature on cancellations while the platform fails."""

from __future__ import annotations

from types import SimpleNamespace

from behave import given, then, when

from damaskjunction.batch import encode
from damaskjunction.core import (
    ManualTimers,
    PlatformUnavailableError,
    PlatformUnknownError,
)
from damaskjunction.http import BodyReader, HttpError, Request
from damaskjunction.node.jobs.job_cancel import JobCanceller
from damaskjunction.node.jobs.job_routes import JobRoutes
from damaskjunction.standins.scenarios import run

JOB = {"job_id": "j1", "workspace": "w1", "state": "open"}


class FailingStore:
    """The stored objects of one job; the call of ``failing_step`` fails."""

    def __init__(self, failing_step):
        self._failing_step = failing_step
        self.job = dict(JOB)

    def _check(self, step):
        if step == self._failing_step:
            raise PlatformUnavailableError(step)

    async def get(self, kind, name):
        return SimpleNamespace(value=encode(self.job), version=1)

    async def get_job(self, job_id):
        return self.job

    async def put(self, kind, name, document, *, expected_version):
        self._check("write of the cancellation")
        self.job = document
        if self._failing_step == "answer to the cancellation":
            raise PlatformUnknownError(self._failing_step)

    async def list_chunks(self, job):
        self._check("read of the job's chunks")
        return {}

    async def remove_from_queue(self, job_id):
        self._check("read of the job's queue")


@given("an open job, and a platform that fails {step}")
def make_job(context, step):
    context.store = FailingStore(step.removeprefix("the "))


@when("the job is cancelled")
def cancel_job(context):
    view = SimpleNamespace(
        is_ready=True,
        workspace_of_key=lambda key: JOB["workspace"],
        configuration=SimpleNamespace(batch=SimpleNamespace(lease_s=2.0)),
        own=SimpleNamespace(host_id="h1"),
    )

    class Worker:
        async def stop_job(self, job_id):
            """Stop nothing: no item runs here."""

    timers = ManualTimers()
    canceller = JobCanceller(view, context.store, Worker(), None, timers)
    routes = JobRoutes(view, context.store, canceller, None, timers)
    headers = {"authorization": "Bearer key"}
    request = Request("DELETE", "/v1/jobs/j1", {}, headers, BodyReader(None, 0))
    try:
        context.status = run(context, routes.cancel(request, JOB["job_id"])).status
    except HttpError as error:
        context.status = error.status


@then("the response is {status:d} and the stored job is {state}")
def check_cancelled(context, status, state):
    assert (context.status, context.store.job["state"]) == (status, state), (
        context.status,
        context.store.job,
    )
