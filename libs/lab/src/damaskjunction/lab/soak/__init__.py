"""Randomized soak test: real host processes, injected faults, checked guarantees."""

from damaskjunction.lab.soak.checks import checks, find_broken
from damaskjunction.lab.soak.history import (
    Call,
    Calm,
    End,
    History,
    Read,
    Run,
    Submission,
)
from damaskjunction.lab.soak.schedule import Strike, make_schedule
from damaskjunction.lab.soak.soak import SoakOptions, SoakReport, run_soak

__all__ = [
    "Call",
    "Calm",
    "End",
    "History",
    "Read",
    "Run",
    "SoakOptions",
    "SoakReport",
    "Strike",
    "Submission",
    "checks",
    "find_broken",
    "make_schedule",
    "run_soak",
]
