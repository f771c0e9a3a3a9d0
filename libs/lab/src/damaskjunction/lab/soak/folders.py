"""Folders of soaks, each of which has one of its own."""

from __future__ import annotations

from pathlib import Path


def make_folder(parent: Path, name: str) -> Path:
    """Make a folder with a name, with a number added if one of that name exists."""
    folder, number = parent / name, 1
    while True:
        try:
            folder.mkdir(parents=True)
        except FileExistsError:
            number += 1
            folder = parent / f"{name}-{number}"
        else:
            return folder
