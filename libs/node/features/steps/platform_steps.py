"""Steps on the platform that several features share."""

from __future__ import annotations

from behave import when

from damaskjunction.standins.scenarios import run


@when("the platform is down")
def stop_platform(context):
    fleet = context.deployed.fleet
    document = {"down": 1}
    run(context, fleet.call("platform", "PUT", "/test/faults", document=document))
