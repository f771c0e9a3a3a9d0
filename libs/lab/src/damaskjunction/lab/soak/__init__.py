"""Randomized soak test: real host processes, injected faults, checked guarantees."""

import damaskjunction.lab.soak.answers
import damaskjunction.lab.soak.link_faults
import damaskjunction.lab.soak.owed
import damaskjunction.lab.soak.releases  # noqa: F401 - register faults and checks
from damaskjunction.lab.soak.checks import checks, find_violations
from damaskjunction.lab.soak.faults import (
    STORE_FAULTS,
    faults,
    kills_all_hosts,
    variant,
)
from damaskjunction.lab.soak.history import (
    Call,
    Cancellation,
    Event,
    FaultFreePeriod,
    FaultSpan,
    History,
    HostDisturbance,
    HostExit,
    MemoryPeak,
    NamedLimit,
    ProcessorUse,
    ResultsRead,
    Room,
    Run,
    RunEnd,
    RunnerLife,
    Stall,
    Submission,
)
from damaskjunction.lab.soak.release_faults import plan_release
from damaskjunction.lab.soak.runners import RecordedEvents
from damaskjunction.lab.soak.schedule import ScheduledFault, make_schedule
from damaskjunction.lab.soak.soak import (
    SoakOptions,
    SoakReport,
    describe_own_process,
    run_soak,
)

__all__ = [
    "STORE_FAULTS",
    "Call",
    "Cancellation",
    "Event",
    "FaultFreePeriod",
    "FaultSpan",
    "History",
    "HostDisturbance",
    "HostExit",
    "MemoryPeak",
    "NamedLimit",
    "ProcessorUse",
    "RecordedEvents",
    "ResultsRead",
    "Room",
    "Run",
    "RunEnd",
    "RunnerLife",
    "ScheduledFault",
    "SoakOptions",
    "SoakReport",
    "Stall",
    "Submission",
    "checks",
    "describe_own_process",
    "faults",
    "find_violations",
    "kills_all_hosts",
    "make_schedule",
    "plan_release",
    "run_soak",
    "variant",
]
