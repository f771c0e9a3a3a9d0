"""Structured logs: one JSON object per line, rate-limited, written without blocking."""

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
    """Token bucket of an event: lines left, and the time of the last update."""

    n_lines: float
    at_s: float


class LineBudget(logging.Filter):
    """Suppresses lines of events that are logged too often, and counts them.

    Each message text is an event with a token bucket of its own, so that frequent
    events don't use up the rate of rare ones. Errors are never suppressed.

    Parameters
    ----------
    now : callable
        Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        super().__init__()
        self._now = now
        self._budgets_by_event: dict[str, _Budget] = {}
        self._left_out_by_event: dict[str, int] = {}
        self._told_at_s = now()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a line."""
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
        """Return the number of suppressed lines by event, if a report is due.

        The counts are then reset. Reports are at least ``TELL_PERIOD_S`` apart.
        """
        now_s = self._now()
        if not self._left_out_by_event or now_s - self._told_at_s < TELL_PERIOD_S:
            return {}
        self._told_at_s = now_s
        left_out, self._left_out_by_event = self._left_out_by_event, {}
        return left_out


class UnblockedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines that a full pipe does not accept are buffered up to ``MAX_UNWRITTEN_BYTES``
    and dropped beyond that.

    Parameters
    ----------
    descriptor : int
        An open file descriptor; it is set to non-blocking mode.
    budget : LineBudget
        Filter that suppresses lines of frequent events.
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
        """Write a line, or drop it when the buffer is full."""
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
            return  # stays in the buffer until the next line is written
        self._unwritten = self._unwritten[n_written:]


def configure_logs(
    level: str, *, process: str, now: Callable[[], float], descriptor: int | None = None
) -> None:
    """Configure logging of JSON lines to standard output.

    Parameters
    ----------
    level : str
        ``"debug"``, ``"info"``, ``"warning"`` or ``"error"``.
    process : str
        Name of the process, added to every line.
    now : callable
        Monotonic clock, in seconds.
    descriptor : int, optional
        File descriptor to write to instead of standard output.
    """
    target = sys.stdout.fileno() if descriptor is None else descriptor
    handler = UnblockedHandler(target, LineBudget(now))
    handler.setFormatter(JsonFormatter(LOG_FORMAT, static_fields={"process": process}))
    root = logging.getLogger("damaskjunction")
    root.handlers[:] = [handler]
    root.propagate = False
    set_log_level(level)


def set_log_level(level: str) -> None:
    """Change the log level at run time.

    Raises
    ------
    ValueError
        When the level is unknown.
    """
    logging.getLogger("damaskjunction").setLevel(level.upper())
