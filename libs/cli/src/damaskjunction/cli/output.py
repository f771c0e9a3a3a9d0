"""Human and JSON output."""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence


def print_json(document: object) -> None:
    """Print a document as JSON."""
    json.dump(document, sys.stdout, indent=2)
    print()


def print_table(headings: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows in aligned columns below headings."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in cells)])
        for column, heading in enumerate(headings)
    ]
    for row in [[heading.upper() for heading in headings], *cells]:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())


def print_progress(text: str) -> None:
    """Show progress on standard error, over the last one on a terminal."""
    if sys.stderr.isatty():
        print(f"\r\x1b[K{text}", end="", file=sys.stderr, flush=True)


def end_progress() -> None:
    """Leave the line on which progress was shown."""
    if sys.stderr.isatty():
        print("\r\x1b[K", end="", file=sys.stderr, flush=True)
