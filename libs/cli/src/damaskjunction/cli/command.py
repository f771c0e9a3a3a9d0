"""Registry of subcommands, exit codes and the error that ends a command."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple, TypeAlias

from damaskjunction.core import DamaskjunctionError, Registry

RunCommand: TypeAlias = Callable[[argparse.Namespace], int]
AddArguments: TypeAlias = Callable[[argparse.ArgumentParser], None]


class ExitCode(IntEnum):
    """Exit codes of the command.

    ``NOT_RUN`` means that the request was certainly not run, ``UNKNOWN`` that it may
    have been. ``FINDINGS`` stands for invalid input, such as a configuration with
    errors.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    FINDINGS = 3
    CONFLICT = 4
    NOT_RUN = 5
    UNKNOWN = 6
    TIMED_OUT = 7


class CommandError(DamaskjunctionError):
    """A command failed; the message is printed on standard error.

    Parameters
    ----------
    code : ExitCode
        Exit code of the process.
    message : str
        What failed and, where known, how to correct it.
    """

    def __init__(self, code: ExitCode, message: str) -> None:
        super().__init__(message)
        self.code = code


class Command(NamedTuple):
    """A subcommand; ``run`` takes the parsed arguments and returns the exit code."""

    summary: str
    examples: tuple[str, ...]
    add_arguments: AddArguments
    run: RunCommand


commands: Registry[Command] = Registry("command")


def register_command(
    name: str, summary: str, add_arguments: AddArguments, *examples: str
) -> Callable[[RunCommand], RunCommand]:
    """Return a decorator that registers a function as the subcommand ``name``."""

    def decorate(run: RunCommand) -> RunCommand:
        commands.register(name)(Command(summary, examples, add_arguments, run))
        return run

    return decorate
