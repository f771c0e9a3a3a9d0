"""The subcommands."""

from __future__ import annotations

import argparse
from pathlib import Path

from damaskjunction.cli.main import EXIT_OK, Command, commands
from damaskjunction.node import main as run_host_daemon
from damaskjunction.settings import read_configuration, read_host_settings


def _add_host_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--settings", type=Path, required=True, help="YAML file")


def _run_host(arguments: argparse.Namespace) -> int:
    path: Path = arguments.settings
    run_host_daemon(read_host_settings(path.read_text(), path.name))
    return EXIT_OK


def _add_check_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("text", type=Path, help="the operators' text")


def _run_check(arguments: argparse.Namespace) -> int:
    path: Path = arguments.text
    read_configuration(path.read_text(), path.name)
    print(f"{path.name}: no findings")
    return EXIT_OK


commands.register("host")(
    Command("run one host of the system", _add_host_arguments, _run_host)
)
commands.register("check")(
    Command("check an operators' text", _add_check_arguments, _run_check)
)
