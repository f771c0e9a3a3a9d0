"""The command ``explain``: the timeline of a request, a job or an item from logs."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from damaskjunction.cli.command import ExitCode, register_command
from damaskjunction.cli.output import print_json
from damaskjunction.core import original_request_id

ID_FIELDS = ("request", "job", "item")
RESOURCE_FIELDS = ("runner", "host")
COMMON_FIELDS = ("asctime", "levelname", "name", "message", "process")
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
CONTEXT_WINDOW_S = 3.0


class LogLine(NamedTuple):
    """A log line; ``at_s`` is its timestamp, in seconds since the epoch.

    Each host stamps its lines by its own clock.
    """

    at_s: float
    process: str
    event: str
    fields: dict[str, Any]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("id", help="id of a request, a job or an item")
    parser.add_argument(
        "files",
        nargs="*",
        type=Path,
        metavar="FILE",
        help="log files (default: standard input)",
    )
    parser.add_argument("--json", action="store_true", help="print lines as JSON")


@register_command(
    "explain",
    "Print the timeline of a request, a job or an item from logs of several hosts.",
    _add_arguments,
    "damaskjunction explain 9c41d07be2a35f68 host-a.log host-b.log",
)
def run_explain(arguments: argparse.Namespace) -> int:
    """Print the log lines about an id, ordered by time."""
    lines = sorted(_read_log_files(arguments.files), key=lambda line: line.at_s)
    timeline = select_timeline(lines, arguments.id)
    if arguments.json:
        print_json([line._asdict() for line in timeline])
    else:
        print("\n".join(_format_line(line, timeline[0].at_s) for line in timeline))
    if not timeline:
        print(f"no log line mentions {arguments.id!r}", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.OK


def parse_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that contain a JSON document; text before it is ignored."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
            logged_at = datetime.strptime(document["asctime"], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            continue  # not a log line: other programs write to the same stream
        fields = {
            name: value for name, value in document.items() if name not in COMMON_FIELDS
        }
        process = document.get("process", "")
        yield LogLine(logged_at.timestamp(), process, document["message"], fields)


def select_timeline(lines: list[LogLine], searched_id: str) -> list[LogLine]:
    """Return the lines with an id, and related lines from about the same time.

    A related line has no id, names a runner or host that a line with the id names, and
    was logged by a process that also logged a line with the id, from
    ``CONTEXT_WINDOW_S`` before the first line with the id to ``CONTEXT_WINDOW_S`` after
    the last.
    """
    matches = [line for line in lines if searched_id in _ids(line)]
    if not matches:
        return []
    begin_s, end_s = (
        matches[0].at_s - CONTEXT_WINDOW_S,
        matches[-1].at_s + CONTEXT_WINDOW_S,
    )
    resources = {
        line.fields[field]
        for line in matches
        for field in RESOURCE_FIELDS
        if line.fields.get(field)
    }
    processes = {line.process for line in matches}
    timeline = []
    for line in lines:
        is_match = searched_id in _ids(line)
        is_in_window = begin_s <= line.at_s <= end_s
        has_no_id = not any(field in line.fields for field in ID_FIELDS)
        line_resources = {line.fields.get(field) for field in RESOURCE_FIELDS}
        is_related = (
            has_no_id and line.process in processes and bool(line_resources & resources)
        )
        if is_match or (is_in_window and is_related):
            timeline.append(line)
    return timeline


def _ids(line: LogLine) -> set[Any]:
    ids = {line.fields[field] for field in ID_FIELDS if field in line.fields}
    return ids | {original_request_id(str(name)) for name in ids}


def _read_log_files(files: list[Path]) -> Iterator[LogLine]:
    if not files:
        yield from parse_lines(sys.stdin)
    for path in files:
        with path.open(errors="replace") as source:
            yield from parse_lines(source)


def _format_line(line: LogLine, start_at_s: float) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.at_s - start_at_s:+9.3f} s  {line.process}  {line.event}  {fields}"
