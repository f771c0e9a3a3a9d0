"""Hooks of behave."""

import asyncio


def before_scenario(context, scenario):
    context.asyncio_runner = asyncio.Runner()
    context.platform = None


def after_scenario(context, scenario):
    if context.platform is not None:
        context.asyncio_runner.run(context.platform.close())
    context.asyncio_runner.close()
