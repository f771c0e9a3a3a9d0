"""Run the workspace's static checks and features, and count the results.

The last line of output is ``N passed, N failed``. Each static check counts as one and
so does each scenario in behave's reports. A failure that ``KNOWN-RED.txt`` lists is
printed but not counted as failed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
COMMAND_TIMEOUT_S = 600.0
MAX_PARALLEL_FEATURES = 6
MAX_EXCERPT_CHARACTERS = 4000
KNOWN_RED_PREFIX = "test:"
SLOW_TAG = "matrix"
ALONE_TAG = "alone"  # features that measure a process of their own


class Result(NamedTuple):
    """Result of a check or scenario; ``failure`` is None when it passed."""

    name: str
    failure: str | None


class CompletedCommand(NamedTuple):
    """Exit code and combined output of a completed command."""

    code: int
    output: str


async def run_command(*command: str) -> CompletedCommand:
    """Run a command in the workspace's root and return its exit code and output.

    A command that exceeds ``COMMAND_TIMEOUT_S`` is killed and fails with exit code 1.
    """
    process = await asyncio.create_subprocess_exec(
        *command,
        cwd=ROOT,
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            output, _ = await process.communicate()
    except TimeoutError:
        process.kill()
        await process.wait()
        return CompletedCommand(1, f"timed out after {COMMAND_TIMEOUT_S:.0f} s")
    return CompletedCommand(process.returncode or 0, output.decode(errors="replace"))


async def run_static_checks() -> list[Result]:
    """Run the static checks in parallel: format, lint, types, pages, names, imports."""
    python = sys.executable
    scripts = Path(python).parent
    sources = sorted(str(path) for path in ROOT.glob("libs/*/src"))
    commands = {
        "ruff format": (python, "-m", "ruff", "format", "--check", "libs", "tools"),
        "ruff check": (python, "-m", "ruff", "check", "libs", "tools"),
        "mypy": (python, "-m", "mypy", *sources, "tools"),
        "matrix page": (python, "tools/matrix_page.py", "--check"),
        "platform names": (python, "tools/platform_names.py"),
        "production commit": (python, "tools/production.py"),
        "import contracts": (str(scripts / "lint-imports"), "--no-cache"),
    }
    completed_commands = await asyncio.gather(
        *(run_command(*c) for c in commands.values())
    )
    return [
        Result(name, None if completed.code == 0 else completed.output)
        for name, completed in zip(commands, completed_commands, strict=True)
    ]


def read_scenarios(suite: str, report: Path, log: str, output: str) -> list[Result]:
    """Return a result per scenario from behave's JSON report and plain log.

    Skipped scenarios have none. ``output`` is what behave printed, such as the errors
    of hooks.
    """
    results = []
    for feature in json.loads(report.read_text()):
        for element in feature.get("elements", []):
            if element["type"] == "background" or element["status"] == "skipped":
                continue
            name = f"{suite}: {feature['name']}: {element['name'].strip()}"
            results.append(Result(name, scenario_failure(element, log, output)))
    return results


def scenario_failure(element: dict[str, Any], log: str, output: str) -> str | None:
    """Return the log excerpt of a scenario that did not pass, or None if it passed.

    When no step failed, a hook did, of which behave's output tells.
    """
    if element["status"] == "passed":
        return None
    statuses = {step.get("result", {}).get("status") for step in element["steps"]}
    if statuses <= {"passed", None}:
        return shorten(output)
    start = log.find(f": {element['name']}\n")
    return shorten(log[start:].partition("\n  Scenario")[0])


def shorten(text: str) -> str:
    """Return a text without its middle if it is long.

    Its beginning has the error, its end the last lines of the logs.
    """
    if len(text) <= 2 * MAX_EXCERPT_CHARACTERS:
        return text
    n_left_out = len(text) - 2 * MAX_EXCERPT_CHARACTERS
    return (
        f"{text[:MAX_EXCERPT_CHARACTERS]}\n[{n_left_out} characters left out]\n"
        f"{text[-MAX_EXCERPT_CHARACTERS:]}"
    )


async def run_feature(
    feature: Path, tags: str, semaphore: asyncio.Semaphore
) -> list[Result]:
    """Run the feature in one file and return a result per scenario.

    A missing report counts as a failure, and so does an error exit of behave when no
    scenario failed.
    """
    suite = feature.parent.relative_to(ROOT / "libs").as_posix()
    name = suite.replace("/features", "")
    with tempfile.TemporaryDirectory() as folder:
        report = Path(folder) / "report.json"
        plain_log = Path(folder) / "plain.txt"
        command = (sys.executable, "-m", "behave", "--no-summary", "--tags", tags)
        format_arguments = (
            *("--format", "json", "--outfile", str(report)),
            *("--format", "plain", "--outfile", str(plain_log), str(feature)),
        )
        async with semaphore:
            completed = await run_command(*command, *format_arguments)
        try:
            log = plain_log.read_text()
            results = read_scenarios(name, report, log, completed.output)
        except (OSError, ValueError):
            return [Result(f"{name}: {feature.stem}: behave", completed.output)]
    if completed.code != 0 and all(result.failure is None for result in results):
        results.append(Result(f"{name}: {feature.stem}: behave", completed.output))
    return results


def is_run_alone(feature: Path) -> bool:
    """Return whether the first line of a feature's file has ``ALONE_TAG``."""
    with feature.open() as file:
        return f"@{ALONE_TAG}" in file.readline().split()


async def run_features(tags: str) -> list[Result]:
    """Run the features of all libraries, ``MAX_PARALLEL_FEATURES`` at a time.

    Those that are run alone come last, one after the other.
    """
    features = sorted(ROOT.glob("libs/*/features/**/*.feature"))
    results: list[Result] = []
    for is_alone, n_parallel in ((False, MAX_PARALLEL_FEATURES), (True, 1)):
        semaphore = asyncio.Semaphore(n_parallel)
        chosen = [f for f in features if is_run_alone(f) is is_alone]
        results_per_feature = await asyncio.gather(
            *(run_feature(f, tags, semaphore) for f in chosen)
        )
        results += [result for found in results_per_feature for result in found]
    return results


def read_known_red_names() -> set[str]:
    """Return the names of the tests that ``KNOWN-RED.txt`` lists."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.removeprefix(KNOWN_RED_PREFIX).strip()
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }


def report(results: list[Result]) -> int:
    """Print the failures and the summary line; return the number of failures."""
    known_red = read_known_red_names()
    n_failed = 0
    for result in results:
        if result.failure is None:
            continue
        is_known = result.name in known_red
        n_failed += not is_known
        print(f"{'KNOWN RED' if is_known else 'FAILED'} {result.name}")
        print(result.failure)
    n_passed = sum(result.failure is None for result in results)
    print(f"{n_passed} passed, {n_failed} failed")
    return n_failed


async def run_selected(only: str) -> list[Result]:
    """Run the checks that ``--only`` selects."""
    results: list[Result] = []
    if only in ("all", "lint"):
        results += await run_static_checks()
    if only in ("all", "features"):
        results += await run_features(f"not @{SLOW_TAG}")
    if only == "matrix":
        results += await run_features(f"@{SLOW_TAG}")
    return results


def main() -> None:
    """Run the selected checks; exit with code 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", choices=("all", "lint", "features", "matrix"), default="all"
    )
    arguments = parser.parse_args()
    sources = os.pathsep.join(str(path) for path in sorted(ROOT.glob("libs/*/src")))
    os.environ.update(PYTHONHASHSEED="0", PYTHONPATH=sources, MYPYPATH=sources)
    results = asyncio.run(run_selected(arguments.only))
    sys.exit(1 if report(results) else 0)


if __name__ == "__main__":
    main()
