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

ID_FIELDS = ("request", "job", "item")
SUBJECT_FIELDS = ("runner", "host")
COMMON_FIELDS = ("asctime", "levelname", "name", "message", "process")
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
WINDOW_S = 3.0


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
    "Print the timeline of a request or a job from the logs of several hosts.",
    _add_arguments,
    "damaskjunction explain 9c41d07be2a35f68 host-a.log host-b.log",
)
def run_explain(arguments: argparse.Namespace) -> int:
    """Print the log lines about an id, ordered by time."""
    lines = sorted(_read_all(arguments.files), key=lambda line: line.at_s)
    story = find_story(lines, arguments.id)
    if arguments.json:
        print_json([line._asdict() for line in story])
    else:
        print("\n".join(_to_text(line, story[0].at_s) for line in story))
    if not story:
        print(f"no log line mentions {arguments.id!r}", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.OK


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines that contain a JSON document; text before it is ignored."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            document = json.loads(text[start:])
            at = datetime.strptime(document["asctime"], TIME_FORMAT)
        except (ValueError, KeyError, TypeError):
            continue  # not a log line: other programs write to the same stream
        fields = {
            name: value for name, value in document.items() if name not in COMMON_FIELDS
        }
        process = document.get("process", "")
        yield LogLine(at.timestamp(), process, document["message"], fields)


def find_story(lines: list[LogLine], name: str) -> list[LogLine]:
    """Return the lines with an id, and related lines from about the same time.

    A related line has no id, names a runner or host that lines with the id name, and
    was logged by a process that logged such a line, from ``WINDOW_S`` before the first
    of them to ``WINDOW_S`` after the last.
    """
    own = [line for line in lines if name in _ids(line)]
    if not own:
        return []
    begin_s, end_s = own[0].at_s - WINDOW_S, own[-1].at_s + WINDOW_S
    subjects = {
        line.fields[field]
        for line in own
        for field in SUBJECT_FIELDS
        if line.fields.get(field)
    }
    processes = {line.process for line in own}
    story = []
    for line in lines:
        is_own = name in _ids(line)
        is_near = begin_s <= line.at_s <= end_s
        is_belief = not any(field in line.fields for field in ID_FIELDS)
        named = {line.fields.get(field) for field in SUBJECT_FIELDS}
        is_told = is_belief and line.process in processes and bool(named & subjects)
        if is_own or (is_near and is_told):
            story.append(line)
    return story


def _ids(line: LogLine) -> set[Any]:
    return {line.fields[field] for field in ID_FIELDS if field in line.fields}


def _read_all(files: list[Path]) -> Iterator[LogLine]:
    if not files:
        yield from read_lines(sys.stdin)
    for path in files:
        with path.open(errors="replace") as source:
            yield from read_lines(source)


def _to_text(line: LogLine, began_at_s: float) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.at_s - began_at_s:+9.3f} s  {line.process}  {line.event}  {fields}"
