"""Structured logs: one JSON object a line, bounded in volume, never waited for."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Callable
from typing import NamedTuple

from pythonjsonlogger.json import JsonFormatter

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
LINES_PER_S = 40.0
BURST_LINES = 400.0
TELL_PERIOD_S = 10.0
MAX_UNWRITTEN_BYTES = 256 * 1024


class _Budget(NamedTuple):
    """Lines that an event may still write, and when that was worked out."""

    n_lines: float
    at_s: float


class LineBudget(logging.Filter):
    """Leaves out lines of an event that comes too often, and tells how many.

    Each message text is an event with a budget of its own, so that frequent events
    take nothing from rare ones. Errors are never left out.

    Parameters
    ----------
    now : callable
        Seconds on a clock that never goes back.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self._budgets_by_event: dict[str, _Budget] = {}
        self._left_out_by_event: dict[str, int] = {}
        self._told_at_s = now()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        if record.levelno >= logging.ERROR:
            return True
        event = str(record.msg)
        now_s = self._now()
        known = self._budgets_by_event.get(event, _Budget(BURST_LINES, now_s))
        refill = (now_s - known.at_s) * LINES_PER_S
        n_lines = min(BURST_LINES, known.n_lines + refill)
        is_written = n_lines >= 1.0
        if is_written:
            n_lines -= 1.0
        else:
            n_left_out = self._left_out_by_event.get(event, 0)
            self._left_out_by_event[event] = n_left_out + 1
        self._budgets_by_event[event] = _Budget(n_lines, now_s)
        return is_written

    def take_left_out(self) -> dict[str, int]:
        """Return the lines left out by event, when it is time to tell of them."""
        now_s = self._now()
        if not self._left_out_by_event or now_s - self._told_at_s < TELL_PERIOD_S:
            return {}
        self._told_at_s = now_s
        left_out, self._left_out_by_event = self._left_out_by_event, {}
        return left_out


class UnblockedHandler(logging.Handler):
    """Writes lines to a file descriptor; what a full pipe won't take is dropped.

    Parameters
    ----------
    descriptor : int
        An open file descriptor; it is set not to block.
    budget : LineBudget
        Tells which lines are left out.
    """

    def __init__(self, descriptor: int, budget: LineBudget) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._budget = budget
        self._unwritten = b""
        self.n_dropped = 0
        self.addFilter(budget)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it when too much is unwritten."""
        left_out = self._budget.take_left_out()
        if left_out or self.n_dropped:
            self._tell(left_out)
        self._put(self.format(record))

    def _tell(self, left_out: dict[str, int]) -> None:
        n_dropped, self.n_dropped = self.n_dropped, 0
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines left out", None, None
        )
        record.left_out_by_event = left_out
        record.n_dropped = n_dropped
        self._put(self.format(record))

    def _put(self, line: str) -> None:
        data = line.encode() + b"\n"
        if len(self._unwritten) + len(data) > MAX_UNWRITTEN_BYTES:
            self.n_dropped += 1
            data = b""
        self._unwritten += data
        try:
            n_written = os.write(self._descriptor, self._unwritten)
        except BlockingIOError:
            return  # kept for the next line, up to a bound
        self._unwritten = self._unwritten[n_written:]


def configure_logs(
    level: str, *, process: str, now: Callable[[], float], descriptor: int | None = None
) -> None:
    """Write JSON lines to standard output.

    Parameters
    ----------
    level : str
        ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    process : str
        Name of the process, in every line.
    now : callable
        Seconds on a clock that never goes back.
    descriptor : int, optional
        Write to another file descriptor.
    """
    target = sys.stdout.fileno() if descriptor is None else descriptor
    handler = UnblockedHandler(target, LineBudget(now))
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
