"""Structured logs: one JSON object per line, rate-limited, written without blocking."""

from __future__ import annotations

import logging
import os
import sys
from collections.abc import Callable
from typing import NamedTuple

from pythonjsonlogger.json import JsonFormatter

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
REFILL_LINES_PER_S = 40.0
BURST_LINES = 400.0
REPORT_PERIOD_S = 10.0
MAX_BUFFER_BYTES = 256 * 1024


class _TokenBucket(NamedTuple):
    """Token bucket of an event: lines left, and the time of the last update."""

    n_lines: float
    updated_at_s: float


class RateLimitFilter(logging.Filter):
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
        self._buckets_by_event: dict[str, _TokenBucket] = {}
        self._suppressed_by_event: dict[str, int] = {}
        self._reported_at_s = now()

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a line."""
        if record.levelno >= logging.ERROR:
            return True
        event = str(record.msg)
        now_s = self._now()
        bucket = self._buckets_by_event.get(event, _TokenBucket(BURST_LINES, now_s))
        refill = (now_s - bucket.updated_at_s) * REFILL_LINES_PER_S
        n_lines = min(BURST_LINES, bucket.n_lines + refill)
        is_allowed = n_lines >= 1.0
        if is_allowed:
            n_lines -= 1.0
        else:
            n_suppressed = self._suppressed_by_event.get(event, 0)
            self._suppressed_by_event[event] = n_suppressed + 1
        self._buckets_by_event[event] = _TokenBucket(n_lines, now_s)
        return is_allowed

    def take_suppressed(self) -> dict[str, int]:
        """Return the number of suppressed lines by event, if a report is due.

        The counts are then reset. Reports are at least ``REPORT_PERIOD_S`` apart.
        """
        now_s = self._now()
        if (
            not self._suppressed_by_event
            or now_s - self._reported_at_s < REPORT_PERIOD_S
        ):
            return {}
        self._reported_at_s = now_s
        suppressed, self._suppressed_by_event = self._suppressed_by_event, {}
        return suppressed


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    Lines that a full pipe does not accept are buffered up to ``MAX_BUFFER_BYTES``
    and dropped beyond that.

    Parameters
    ----------
    descriptor : int
        An open file descriptor; it is set to non-blocking mode.
    rate_limiter : RateLimitFilter
        Filter that suppresses lines of frequent events.
    """

    def __init__(self, descriptor: int, rate_limiter: RateLimitFilter) -> None:
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate_limiter = rate_limiter
        self._buffer = b""
        self.n_dropped = 0
        self.addFilter(rate_limiter)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or drop it when the buffer is full."""
        suppressed = self._rate_limiter.take_suppressed()
        if suppressed or self.n_dropped:
            self._write_report(suppressed)
        self._write_line(self.format(record))

    def _write_report(self, suppressed: dict[str, int]) -> None:
        n_dropped, self.n_dropped = self.n_dropped, 0
        record = logging.LogRecord(
            __name__, logging.WARNING, "", 0, "log lines left out", None, None
        )
        record.left_out_by_event = suppressed
        record.n_dropped = n_dropped
        self._write_line(self.format(record))

    def _write_line(self, line: str) -> None:
        data = line.encode() + b"\n"
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self.n_dropped += 1
            data = b""
        self._buffer += data
        try:
            n_written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return  # stays in the buffer until the next line is written
        self._buffer = self._buffer[n_written:]


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
    handler = NonBlockingHandler(target, RateLimitFilter(now))
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
