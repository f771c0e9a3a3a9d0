"""Steps of soak_builds.feature."""

from __future__ import annotations

import asyncio
import tempfile
from pathlib import Path

from behave import then, when

from damaskjunction.lab.soak import BuildError, export_build


@when("two soaks export the present commit at once")
def export_twice(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)

    async def export():
        return await asyncio.gather(
            export_build("HEAD", context.folder), export_build("HEAD", context.folder)
        )

    try:
        context.targets = asyncio.run(export())
    except BuildError as error:
        context.scenario.skip(f"the history is not there: {error}")


@then("both have its sources in one folder and nothing else is left")
def check_sources(context):
    first, second = context.targets
    assert first == second, context.targets
    assert (first / "libs" / "lab" / "pyproject.toml").exists()
    assert list(context.folder.iterdir()) == [first]
