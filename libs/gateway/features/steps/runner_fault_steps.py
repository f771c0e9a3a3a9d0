"""Steps for failures that count against a runner."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import Address, HostState
from damaskjunction.gateway.runners.runner_faults import RunnerFaults
from damaskjunction.routing import RunnerVerdict
from damaskjunction.standins import Mode


class FixedDiagnosis:
    """A diagnosis that always comes to the same verdict."""

    def __init__(self, verdict):
        self._verdict = verdict

    def may_accuse(self, verdict):
        return verdict.may_accuse

    async def diagnose(self, address):
        return self._verdict

    async def close(self):
        pass


@given('a runner that is diagnosed as "{verdict}"')
def set_verdict(context, verdict):
    context.diagnosis = FixedDiagnosis(RunnerVerdict(verdict))


@when('a request to it fails for "{reason}"')
def fail_request(context, reason):
    context.calls = []

    async def free_slot():
        context.calls.append("freed")

    async def fail():
        faults = RunnerFaults(context.diagnosis)
        runner = SimpleNamespace(runner_id="r1", address=None)
        accuse = lambda: context.calls.append("accused")  # noqa: E731
        faults.record(runner, reason, accuse, free_slot)
        await asyncio.sleep(0.01)
        await faults.close()

    context.asyncio_runner.run(fail())


@then("the runner {accused} accused, and the request's slot {freed} given back")
def check_calls(context, accused, freed):
    expected = ["accused"] * (accused == "is") + ["freed"] * (freed == "is")
    assert context.calls == expected, context.calls


@given('the host "{name}" knows another one that leaves and does not answer')
def add_leaving_host(context, name):
    view = context.platform.hosts[name].view
    leaving = view.own._replace(
        host_id="leaving", peer=Address("127.0.0.1", 1), state=HostState.LEAVING
    )
    view.apply_hosts([view.own, leaving])


@when('all engines refuse the connections of "{name}"')
def refuse_connections(context, name):
    for proxy in context.platform.runner_proxies.values():
        proxy.set_mode(Mode.REFUSING)


@then('"{name}" diagnoses the engine "{engine}" as "{verdict}"')
def check_diagnosis(context, name, engine, verdict):
    host = context.platform.hosts[name]
    address = host.view.fleet.runners_by_id[engine].address
    found = run(context, host._access.diagnosis.diagnose(address))
    assert found is RunnerVerdict(verdict), found
