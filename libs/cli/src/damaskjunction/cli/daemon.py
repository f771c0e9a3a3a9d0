"""Commands that read a host's settings file: ``host`` and ``settings``."""

from __future__ import annotations

import argparse
from pathlib import Path

from damaskjunction.cli.command import ExitCode, register_command
from damaskjunction.cli.output import print_json, print_table
from damaskjunction.node.daemon import main as run_host
from damaskjunction.settings import HOST_FIELDS, HostSettings, read_host_settings


def _add_settings_argument(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--settings", type=Path, required=True, help="YAML file with the settings"
    )


def _add_show_arguments(parser: argparse.ArgumentParser) -> None:
    _add_settings_argument(parser)
    parser.add_argument("--json", action="store_true", help="print JSON")


def _read_settings(path: Path) -> HostSettings:
    return read_host_settings(path.read_text(), path.name)


@register_command(
    "host",
    "Run a host until SIGTERM, then drain it and stop.",
    _add_settings_argument,
    "damaskjunction host --settings /etc/damaskjunction/host.yaml",
)
def run_host_command(arguments: argparse.Namespace) -> int:
    """Run a host in this process."""
    run_host(_read_settings(arguments.settings))
    return ExitCode.OK


@register_command(
    "settings",
    "Check a host's settings and show each value, its default and its origin.",
    _add_show_arguments,
    "damaskjunction settings --settings host.yaml",
)
def run_settings_command(arguments: argparse.Namespace) -> int:
    """Print the settings in a file with their defaults and descriptions."""
    settings = _read_settings(arguments.settings)
    rows = []
    for field in HOST_FIELDS:
        value = getattr(settings, field.key)
        is_default = not field.is_required and value == field.default
        default = "(required)" if field.is_required else repr(field.default)
        origin = "default" if is_default else arguments.settings.name
        rows.append((field.key, str(value), default, origin, field.doc))
    headings = ("key", "value", "default", "origin", "meaning")
    if arguments.json:
        print_json([dict(zip(headings, row, strict=True)) for row in rows])
    else:
        print_table(headings, rows)
    return ExitCode.OK
