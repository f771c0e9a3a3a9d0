"""Randomized soak test: real host processes, injected faults, checked guarantees."""

from damaskjunction.lab.soak.checks import checks, find_violations
from damaskjunction.lab.soak.history import (
    Call,
    Cancellation,
    FaultFreePeriod,
    History,
    MemoryPeak,
    NamedLimit,
    ResultsRead,
    Run,
    Submission,
)
from damaskjunction.lab.soak.schedule import ScheduledFault, make_schedule
from damaskjunction.lab.soak.soak import SoakOptions, SoakReport, run_soak

__all__ = [
    "Call",
    "Cancellation",
    "FaultFreePeriod",
    "History",
    "MemoryPeak",
    "NamedLimit",
    "ResultsRead",
    "Run",
    "ScheduledFault",
    "SoakOptions",
    "SoakReport",
    "Submission",
    "checks",
    "find_violations",
    "make_schedule",
    "run_soak",
]
