"""Entry point of the command: subcommands from a registry, exit codes, errors."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import FindingsError, Registry

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_FINDINGS = 3


class Command(NamedTuple):
    """A subcommand: its arguments and what it does; ``run`` returns the exit code."""

    help: str
    add_arguments: Callable[[argparse.ArgumentParser], None]
    run: Callable[[argparse.Namespace], int]


Arguments: TypeAlias = argparse.Namespace

commands: Registry[Command] = Registry("command")


def make_parser() -> argparse.ArgumentParser:
    """Return the parser with every registered subcommand."""
    parser = argparse.ArgumentParser(prog="damaskjunction")
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name in commands:
        command = commands.get(name)
        subparser = subparsers.add_parser(name, help=command.help)
        command.add_arguments(subparser)
    return parser


def main(argv: list[str] | None = None) -> None:
    """Run the subcommand on the command line and exit with its code."""
    import damaskjunction.cli.commands  # noqa: F401, PLC0415 - fills the registry

    arguments = make_parser().parse_args(argv)
    try:
        code = commands.get(arguments.command).run(arguments)
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        code = EXIT_FINDINGS
    except OSError as error:
        print(f"damaskjunction: {error}", file=sys.stderr)
        code = EXIT_FAILED
    sys.exit(code)
