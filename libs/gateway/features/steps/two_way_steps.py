"""Steps of the feature on calls to the store that are made two ways."""

from __future__ import annotations

import random
from types import SimpleNamespace

from behave import given, then, when
from fake_homes import make_host
from fake_store import FakeStore
from fleet_helpers import run
from job_worker_steps import make_items, make_record

from damaskjunction.core import (
    ManualTimers,
    Outcome,
    PlatformUnavailableError,
    PlatformUnknownError,
    RequestError,
)
from damaskjunction.gateway.jobs.job_front import JobFront
from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.gateway.store.relayed_transport import RelayedTransport
from damaskjunction.http import BodyReader, Request
from damaskjunction.platform import JOB_PATH_PREFIX, StoreClient, StoreReply
from damaskjunction.wire import StoreAnswer

STORED = b'{"Metadata": {"Name": "j1", "Revision": 7, "CreateRev": 7}, "Spec": {}}'
STATUSES_BY_FATE = {"done": 200, "turned away": 503}


class FakeDirect:
    """The direct transport; ``fate`` is what becomes of each call."""

    def __init__(self, fate):
        self.fate = fate

    async def send(self, method, target, body, stall_s):
        if self.fate == "refused":
            raise PlatformUnavailableError("connection refused")
        if self.fate == "unanswered":
            raise PlatformUnknownError("connection reset")
        return StoreReply(STATUSES_BY_FATE[self.fate], STORED)


class FakeRelays:
    """The links to other hosts; ``fate`` is what becomes of each relayed call."""

    def __init__(self, fate):
        self.fate = fate

    async def ask(self, address, lane, call):
        if self.fate == "refused":
            raise RequestError(Outcome.NOT_RUN, "store_lost")
        if self.fate == "unanswered":
            raise RequestError(Outcome.UNKNOWN, "link_lost")
        return StoreAnswer(STATUSES_BY_FATE[self.fate], STORED)


def make_view():
    own, other = make_host(1, "h1"), make_host(2, "h2")
    return SimpleNamespace(own=own, serving_hosts=lambda: [own, other])


async def outcome_of(call):
    try:
        await call
    except PlatformUnavailableError:
        return "unavailable"
    except PlatformUnknownError:
        return "unknown"
    return "done"


@given("a host whose direct {call} the store is {direct}, and {relayed} through others")
def make_transport(context, call, direct, relayed):
    own_way, others = FakeDirect("turned away"), FakeRelays("turned away")
    transport = RelayedTransport(
        own_way, make_view(), others, ManualTimers(), random.Random(1)
    )
    context.client = StoreClient(transport)
    if direct == "not made":
        # An earlier call shows that the direct way does not work; no other takes it.
        run(context, outcome_of(context.client.get("jobs", "j0")))
        direct = "done"
    own_way.fate, others.fate = direct, relayed


@when("it writes to the store")
def write(context):
    context.outcome = run(context, outcome_of(context.client.create("jobs", "j1", {})))


@when("it reads from the store")
def read(context):
    context.outcome = run(context, outcome_of(context.client.get("jobs", "j1")))


@then("the outcome of the {call} is {outcome}")
def check_outcome(context, call, outcome):
    assert context.outcome == outcome, context.outcome


@given("a host to whose write the store answers that the object exists, illegibly")
def make_illegible_answer(context):
    class Transport:
        async def send(self, method, target, body, stall_s):
            return StoreReply(409, b"{")

    context.client = StoreClient(Transport())


# Ends of jobs


@given("a job whose end is {fate} to the store")
def make_job_to_end(context, fate):
    store = FakeStore()
    jobs = JobRepository(store)
    run(context, jobs.accept(make_record("j1", ["i1"]), make_items(["i1"])))
    store.is_away = fate == "refused"
    store.loses_answers = fate == "unanswered"

    class Notifier:
        async def announce(self, job):
            """Tell no host."""

    context.front = JobFront(jobs, None, Notifier(), state=None, timers=ManualTimers())


@when("a caller ends the job")
def end_job(context):
    path = JOB_PATH_PREFIX + "j1"
    request = Request("DELETE", path, {}, {}, BodyReader(None, 0), path)
    context.response = run(context, context.front.serve(request))


@then("the caller is answered with {status:d}")
def check_answer(context, status):
    assert context.response.status == status, context.response
