"""Behave hooks for the HTTP features."""

import asyncio


def before_scenario(context, scenario):
    """Create the event loop of the scenario."""
    context.asyncio_runner = asyncio.Runner()


def after_scenario(context, scenario):
    """Close the scenario's server, if any, and its event loop."""
    if hasattr(context, "server"):
        context.asyncio_runner.run(context.server.close())
    context.asyncio_runner.close()
