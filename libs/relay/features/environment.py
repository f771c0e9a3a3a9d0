"""Behave hooks for the relay features."""

import asyncio


def before_scenario(context, scenario):
    """Create the event loop of the scenario."""
    context.asyncio_runner = asyncio.Runner()


def after_scenario(context, scenario):
    """Close the hosts and runners of the scenario, and its event loop."""
    if hasattr(context, "fleet"):
        context.asyncio_runner.run(context.fleet.close())
    context.asyncio_runner.close()
