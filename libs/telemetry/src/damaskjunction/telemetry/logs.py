"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure_logs(level: str, *, process: str) -> None:
    """Write JSON lines to standard error.

    Parameters
    ----------
    level : str
        ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    process : str
        Name of the process, in every line.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(LOG_FORMAT, static_fields={"process": process}))
    root = logging.getLogger("damaskjunction")
    root.handlers[:] = [handler]
    root.propagate = False
    set_log_level(level)


def set_log_level(level: str) -> None:
    """Change the level at run time.

    Raises
    ------
    ValueError
        When the level is not known.
    """
    logging.getLogger("damaskjunction").setLevel(level.upper())
