"""Subcommands: their registry, exit codes and errors."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from damaskjunction.core import DamaskjunctionError, Registry

RunCommand: TypeAlias = Callable[[argparse.Namespace], int]
AddArguments: TypeAlias = Callable[[argparse.ArgumentParser], None]


class ExitCode(IntEnum):
    """What the command's exit code tells."""

    OK = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    NOT_RUN = 5
    UNKNOWN = 6
    TIMED_OUT = 7


class CommandError(DamaskjunctionError):
    """The command failed; shown on standard error.

    Parameters
    ----------
    code : ExitCode
        The exit code.
    message : str
        What went wrong, and what to do.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class Command(NamedTuple):
    """A subcommand; ``run`` returns the exit code."""

    summary: str
    examples: tuple[str, ...]
    add_arguments: AddArguments
    run: RunCommand


commands: Registry[Command] = Registry("command")


def register_command(
    name: str, summary: str, add_arguments: AddArguments, *examples: str
) -> Callable[[RunCommand], RunCommand]:
    """Return a decorator that enters a function as the subcommand ``name``."""

    def enter(run: RunCommand) -> RunCommand:
        commands.register(name)(Command(summary, examples, add_arguments, run))
        return run

    return enter
