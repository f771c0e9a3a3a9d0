"""Steps shared by the features of several libraries, whose step modules import them."""

from __future__ import annotations

from typing import Any

from behave import given, when

from damaskjunction.standins.scenarios import run, start_fleet


@given('a running "{name}" fleet')  # type: ignore[untyped-decorator]
def start(context: Any, name: str) -> None:
    """Start a deployment and apply its configuration."""
    start_fleet(context, name)


@when("the platform is down")  # type: ignore[untyped-decorator]
def stop_platform(context: Any) -> None:
    """Start an outage of the platform."""
    fleet = context.deployed.fleet
    document = {"down": 1}
    run(context, fleet.call("platform", "PUT", "/test/faults", document=document))
