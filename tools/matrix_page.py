"""Make ``docs/MATRIX.md`` from the matrix's feature, tags and stated arguments.

A scenario elsewhere covers a cell when it has a tag ``@cell.FAULT.FLOW.STEP``;
``docs/matrix-arguments.tsv`` states, a cell a line, why a fault can't matter there.
"""

from __future__ import annotations

import re
import sys
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "MATRIX.md"
ARGUMENTS = ROOT / "docs" / "matrix-arguments.tsv"
MATRIX_FEATURE = ROOT / "libs" / "lab" / "features" / "matrix.feature"
CELL_TAG = re.compile(r"@cell\.(\w+)\.(\w+)\.(\w+)")
HEADING = """\
# Fault matrix

Made by `python tools/matrix_page.py` from the features' tags; the checks fail when it
is out of date. **CI**: tested by every run of `make test`. **long**: tested by `make
matrix`; see [PROMISES.md](PROMISES.md) for the last run. **argued**: the reason stands
below. **open**: not tested.
"""


class Cell(NamedTuple):
    """A fault at a step of a flow."""

    fault: str
    flow: str
    step: str


def read_matrix() -> dict[Cell, str]:
    """Return how each cell of the matrix's own feature is tested."""
    marks: dict[Cell, str] = {}
    mark = ""
    for line in MATRIX_FEATURE.read_text().splitlines():
        text = line.strip()
        if text.startswith("@"):
            mark = "long" if "@matrix" in text else "CI"
        cells = [cell.strip() for cell in text.strip("|").split("|")]
        if text.startswith("|") and len(cells) == 3 and cells[0] != "flow":
            marks[Cell(cells[2], cells[0], cells[1])] = mark
    return marks


def read_tags() -> dict[Cell, str]:
    """Return the cells that tags of other features name."""
    texts = (path.read_text() for path in sorted(ROOT.glob("libs/**/*.feature")))
    return {Cell(*match): "CI" for text in texts for match in CELL_TAG.findall(text)}


def read_arguments() -> dict[Cell, str]:
    """Return the stated arguments by cell."""
    if not ARGUMENTS.exists():
        return {}
    rows = (line.split("\t") for line in ARGUMENTS.read_text().splitlines())
    return {Cell(fault, flow, step): reason for fault, flow, step, reason in rows}


def make_page() -> str:
    """Return the page's text."""
    arguments = read_arguments()
    marks = dict.fromkeys(arguments, "argued") | read_matrix() | read_tags()
    columns = list(dict.fromkeys((cell.flow, cell.step) for cell in marks))
    faults = list(dict.fromkeys(cell.fault for cell in marks))
    lines = [HEADING, "| fault | " + " | ".join(f"{f}: {s}" for f, s in columns) + " |"]
    lines.append("| --- |" + " --- |" * len(columns))
    for fault in faults:
        row = (marks.get(Cell(fault, *column), "open") for column in columns)
        lines.append(f"| {fault} | " + " | ".join(row) + " |")
    lines.append("")
    lines += (
        f"- `{cell.fault}` at `{cell.flow}: {cell.step}`: {reason}"
        for cell, reason in arguments.items()
    )
    return "\n".join(lines).rstrip() + "\n"


def main() -> None:
    """Write the page, or with ``--check`` tell whether it is current."""
    page = make_page()
    if "--check" in sys.argv:
        if not PAGE.exists() or PAGE.read_text() != page:
            sys.exit("docs/MATRIX.md is out of date: run tools/matrix_page.py")
        return
    PAGE.write_text(page)


if __name__ == "__main__":
    main()
