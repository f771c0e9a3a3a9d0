"""Behave hooks for the features of stand-ins."""

import asyncio


def before_scenario(context, scenario):
    """Create the event loop of the scenario."""
    context.asyncio_runner = asyncio.Runner()


def after_scenario(context, scenario):
    """Close the scenario's connections and its event loop."""
    if hasattr(context, "end"):
        context.end()
    context.asyncio_runner.close()
