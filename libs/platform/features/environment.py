"""Behave hooks of the features of the platform's clients."""

import asyncio


def before_scenario(context, scenario):
    context.asyncio_runner = asyncio.Runner()
    context.server = None


def after_scenario(context, scenario):
    if context.server is not None:
        context.asyncio_runner.run(context.server.close())
    context.asyncio_runner.close()
