"""Hooks of behave."""

import asyncio


def before_scenario(context, scenario):
    """Give the scenario an event loop."""
    context.runner_loop = asyncio.Runner()


def after_scenario(context, scenario):
    """End the scenario's server and its event loop."""
    if hasattr(context, "server"):
        context.runner_loop.run(context.server.close())
    context.runner_loop.close()
