"""Hooks of behave."""

import asyncio


def before_scenario(context, scenario):
    context.runner_loop = asyncio.Runner()
    context.platform = None


def after_scenario(context, scenario):
    if context.platform is not None:
        context.runner_loop.run(context.platform.close())
    context.runner_loop.close()
