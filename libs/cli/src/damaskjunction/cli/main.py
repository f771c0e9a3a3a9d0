"""Entry point: argument parser, dispatch to subcommands and error handling."""

from __future__ import annotations

import argparse
import os
import sys

from damaskjunction.cli import (
    calls,
    configuration,
    daemon,
    diagnostics,
    explain,
    jobs,
)
from damaskjunction.cli.command import CommandError, ExitCode, commands
from damaskjunction.core import FindingsError

# Importing a module registers its commands.
COMMAND_MODULES = (calls, configuration, daemon, explain, jobs, diagnostics)

EXIT_CODE_HELP = "\n".join(
    f"  {code.value}  {code.name.lower().replace('_', ' ')}" for code in ExitCode
)


def make_parser() -> argparse.ArgumentParser:
    """Return an argument parser with every registered subcommand."""
    parser = argparse.ArgumentParser(
        prog="damaskjunction",
        description="Serve online and batch inference on one fleet.",
        epilog=f"exit codes:\n{EXIT_CODE_HELP}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    subparsers = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for name in commands:
        command = commands.get(name)
        examples = "\n".join(f"  {example}" for example in command.examples)
        subparser = subparsers.add_parser(
            name,
            help=command.summary,
            description=command.summary,
            epilog=f"examples:\n{examples}" if examples else "",
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        command.add_arguments(subparser)
    return parser


def main(argv: list[str] | None = None) -> None:
    """Run the subcommand that the arguments name and exit with its exit code."""
    arguments = make_parser().parse_args(argv)
    try:
        code = commands.get(arguments.command).run(arguments)
        sys.stdout.flush()
    except CommandError as error:
        print(f"damaskjunction: {error}", file=sys.stderr)
        code = error.code
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        code = ExitCode.FINDINGS
    except BrokenPipeError:
        # Otherwise the flush of standard output at exit would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.OK
    except (OSError, UnicodeDecodeError) as error:
        print(f"damaskjunction: {error}", file=sys.stderr)
        code = ExitCode.FAILED
    except KeyboardInterrupt:
        code = ExitCode.FAILED
    sys.exit(int(code))
