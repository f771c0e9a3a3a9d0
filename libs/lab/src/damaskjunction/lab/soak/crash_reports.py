"""The crashes of runners that the hosts' logs tell of."""

from __future__ import annotations

import json
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from damaskjunction.core import LoopTimers
from damaskjunction.lab.soak.history import CrashReport

CRASH_MESSAGE = "runner crashed"
LOG_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


def read_crash_reports(folder: Path, timers: LoopTimers) -> Iterator[CrashReport]:
    """Yield the crashes that the hosts recorded whose logs are in a folder."""
    wall_ahead_s = timers.wall() - timers.now()
    for path in sorted(folder.glob("*.log")):
        for line in path.read_text(errors="replace").splitlines():
            if CRASH_MESSAGE not in line:
                continue
            entry = json.loads(line)
            if entry["message"] == CRASH_MESSAGE:
                logged_at = datetime.strptime(entry["asctime"], LOG_TIME_FORMAT)
                at_s = logged_at.timestamp() - wall_ahead_s
                yield CrashReport(entry["runner"], path.stem, at_s)
