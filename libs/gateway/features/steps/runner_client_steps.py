"""Steps of the feature on the client of runners."""

from __future__ import annotations

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import LoopTimers, Runner, ServiceKind
from damaskjunction.gateway.runners.runner_client import RunnerClient
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.http import Request
from damaskjunction.http.messages import BodyReader
from damaskjunction.platform import decode_request
from damaskjunction.routing import LimitObservations
from damaskjunction.standins import (
    RawRunnerStandin,
    StoreStandin,
    allocate_addresses,
    encode_refusal,
)

TIMEOUT_S = 2.0


def make_request(request_id):
    headers = {"x-request-id": request_id} if request_id else {}
    request = Request("POST", "/look/1", {}, headers, BodyReader([], 0), "/look/1")
    return decode_request(request, b"")


class ClientRig:
    """A client and the runner that it calls."""

    def __init__(self, name, script):
        timers = LoopTimers()
        address, store_address = allocate_addresses(2)
        store = StoreStandin(store_address, timers)
        self.raw_runner = RawRunnerStandin(name, address, "api", store, script=script)
        self.runner = Runner(name, "r", "z", address, ServiceKind.PLAIN, "api")
        self.client = RunnerClient(timers)
        self.outcome = None
        self.report = None

    async def close(self):
        """Close the client and the runner."""
        self.client.close()
        await self.raw_runner.close()

    async def send(self, request_id):
        """Send a request and keep the outcome of its failure."""
        self.client.observed_limits = LimitObservations()
        self.outcome = None
        try:
            response = await self.client.send(
                self.runner,
                make_request(request_id),
                remaining_s=TIMEOUT_S,
                stall_s=TIMEOUT_S,
            )
            await self.client.read_body(response, TIMEOUT_S)
        except RunnerFailedError as error:
            self.outcome = error.outcome.value

    async def fetch_report(self):
        """Fetch the runner's report and keep it."""
        self.client.observed_limits = LimitObservations()
        try:
            self.report = await self.client.fetch_report(self.runner)
        except RunnerFailedError:
            self.report = None


@given('a client of the runner "{name}" whose answers are "{script}"')
def make_client(context, name, script):
    context.platform = ClientRig(name, script)
    run(context, context.platform.raw_runner.start())


@when('the request "{request_id}" is sent to it')
def send_request(context, request_id):
    run(context, context.platform.send(request_id))


@when('the request "" is sent to it')
def send_request_without_id(context):
    run(context, context.platform.send(""))


@when(
    'the runner writes the refusal of "{first_id}" again right before '
    '"{request_id}" is sent'
)
def send_after_waiting_refusal(context, first_id, request_id):
    async def work():
        context.platform.raw_runner.write_to_kept(encode_refusal(first_id))
        await context.platform.send(request_id)

    run(context, work())


@when("the runner's report is fetched")
def fetch_report(context):
    run(context, context.platform.fetch_report())


@then('the request failed with outcome "{outcome}"')
def check_outcome(context, outcome):
    assert context.platform.outcome == outcome, context.platform.outcome


@then("the report failed")
def check_report(context):
    assert context.platform.report is None


@then("no limit of the runner was learned from the last answer")
def check_no_limit(context):
    assert context.platform.client.observed_limits.is_empty


@then("the next request to the runner uses a new connection")
def check_new_connection(context):
    n_before = context.platform.raw_runner.n_connections
    run(context, context.platform.send("next"))
    assert context.platform.raw_runner.n_connections == n_before + 1


@then("the runner has had {count:d} connections")
def check_connections(context, count):
    n_connections = context.platform.raw_runner.n_connections
    assert n_connections == count, n_connections
