"""Steps of the scenarios on asks for permits that get no reply in time."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

from behave import given, then, when
from fleet_helpers import run

from damaskjunction.core import LoopTimers
from damaskjunction.gateway.quotas.permit_client import PermitClient
from damaskjunction.routing import CounterChoice, PermitAsk
from damaskjunction.telemetry import Metrics


class LateLinks:
    """Links to a host that does not answer."""

    async def ask(self, address, lane, message):
        await asyncio.Event().wait()


@given("a host that answers no ask for a permit in time")
def make_client(context):
    context.choice = CounterChoice()
    view = SimpleNamespace(
        find_host=lambda host_id: SimpleNamespace(peer=None), choice=context.choice
    )
    context.timers = LoopTimers()
    context.client = PermitClient(view, LateLinks(), context.timers, Metrics())


@when("it gets an ask that {n_hops:d} hosts have passed on")
def ask_late_host(context, n_hops):
    ask = PermitAsk("w", n_hops=n_hops)
    assert run(context, context.client.ask("h1", ask)) is None


@then("it is still a candidate: {is_candidate}")
def check_candidate(context, is_candidate):
    candidates = context.choice.candidates(["h1"], context.timers.now())
    assert bool(candidates) == (is_candidate == "yes"), candidates
