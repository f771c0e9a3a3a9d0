"""Output as tables, as JSON and as a progress line."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence


def print_json(document: object) -> None:
    """Print a document as indented JSON."""
    json.dump(document, sys.stdout, indent=2)
    print()


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns under upper-case headings."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in cells)])
        for column, heading in enumerate(headings)
    ]
    for row in [[heading.upper() for heading in headings], *cells]:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_progress(text: str) -> None:
    """Overwrite the progress line on standard error if that is a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def clear_progress() -> None:
    """Clear the progress line on standard error if that is a terminal."""
    if sys.stderr.isatty():
        print("\r\x1b[K", end="", file=sys.stderr, flush=True)
