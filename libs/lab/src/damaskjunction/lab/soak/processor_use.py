"""What the processes of a soak got of the machine's processors."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

from damaskjunction.core.units import NANOSECOND_S
from damaskjunction.lab.soak.history import ProcessorUse

OWN_PROCESS = "soak"  # of store, runners, proxies and callers


class _Times(NamedTuple):
    """Seconds since the start of a process."""

    computed_s: float
    waited_s: float


class ProcessorMeter:
    """Measures how long processes computed, and waited for a processor."""

    def __init__(self) -> None:
        self._times_by_pid: dict[int, _Times] = {}

    def measure(
        self, pids_by_name: Mapping[str, int], since_s: float, at_s: float
    ) -> list[ProcessorUse]:
        """Return the use since the measurement before, at ``since_s``.

        Processes that have started since then, or have ended, are left out.
        """
        former = self._times_by_pid
        read = {pid: _read_times(pid) for pid in pids_by_name.values()}
        self._times_by_pid = {pid: t for pid, t in read.items() if t is not None}
        uses = []
        for name, pid in pids_by_name.items():
            now, before = self._times_by_pid.get(pid), former.get(pid)
            if now is not None and before is not None:
                computed_s = now.computed_s - before.computed_s
                waited_s = now.waited_s - before.waited_s
                uses.append(ProcessorUse(name, since_s, at_s, computed_s, waited_s))
        return uses


def _read_times(pid: int) -> _Times | None:
    """Return the times of a process's only thread, None if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/schedstat").read_text().split()
    except (FileNotFoundError, ProcessLookupError):
        return None
    return _Times(int(fields[0]) * NANOSECOND_S, int(fields[1]) * NANOSECOND_S)


def describe_processor_use(uses: Sequence[ProcessorUse]) -> str:
    """Return how busy the soak's process was, and how long processes had to wait."""
    own = [use for use in uses if use.process == OWN_PROCESS]
    hosts = [use for use in uses if use.process != OWN_PROCESS]
    computed = [_fraction(use.computed_s, use) for use in own]
    return (
        f"it computed {_mean(computed):.0%} of the time, "
        f"{max(computed, default=0.0):.0%} of its busiest second; for a processor it "
        f"waited {_describe_waits(own)}, hosts {_describe_waits(hosts)}"
    )


def _describe_waits(uses: Sequence[ProcessorUse]) -> str:
    waited = [_fraction(use.waited_s, use) for use in uses]
    return f"{_mean(waited):.0%} of the time and at most {max(waited, default=0.0):.0%}"


def _fraction(part_s: float, use: ProcessorUse) -> float:
    return part_s / (use.until_s - use.since_s)


def _mean(values: Sequence[float]) -> float:
    return sum(values) / len(values) if values else 0.0
