"""Builds of the project of which a soak runs two side by side."""

from __future__ import annotations

import asyncio
import io
import os
import tarfile
import tempfile
from enum import StrEnum
from pathlib import Path

from damaskjunction.core import DamaskjunctionError

BUILDS_FOLDER = Path("build/builds")


class Build(StrEnum):
    """A build that hosts of a soak run."""

    PRESENT = "present"
    FORMER = "former"


class BuildError(DamaskjunctionError):
    """The sources of a commit can't be read from the repository's history."""


async def export_build(commit: str, folder: Path = BUILDS_FOLDER) -> Path:
    """Write the sources of a commit to a folder of its own and return it.

    Raises
    ------
    BuildError
        If the history lacks the commit.
    """
    target = folder / commit
    if target.exists():
        return target
    process = await asyncio.create_subprocess_exec(
        "git",
        "archive",
        commit,
        "libs",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    archive, error_text = await process.communicate()
    if process.returncode != 0:
        raise BuildError(f"commit {commit!r}: {error_text.decode().strip()}")
    _extract(archive, target)
    return target


def _extract(archive: bytes, target: Path) -> None:
    """Write an archive's files to a folder, which another soak may do, too."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=target.parent) as unfinished:
        sources = Path(unfinished) / "sources"
        with tarfile.open(fileobj=io.BytesIO(archive)) as members:
            members.extractall(sources, filter="data")
        try:
            sources.rename(target)
        except OSError:
            if not target.exists():
                raise


def python_path(sources: Path) -> str:
    """Return the module search path that a process of a build runs with."""
    paths = sorted(str(path.resolve()) for path in sources.glob("libs/*/src"))
    return os.pathsep.join(paths)
