"""Randomized soak test: real host processes, injected faults, checked guarantees."""

import damaskjunction.lab.soak.answers
import damaskjunction.lab.soak.cut_checks
import damaskjunction.lab.soak.cut_faults
import damaskjunction.lab.soak.link_faults
import damaskjunction.lab.soak.owed
import damaskjunction.lab.soak.pause_faults
import damaskjunction.lab.soak.releases
import damaskjunction.lab.soak.upgrade  # noqa: F401 - register faults and checks
from damaskjunction.lab.soak.builds import Build, BuildError, export_build
from damaskjunction.lab.soak.callers import Callers
from damaskjunction.lab.soak.checks import checks, find_violations
from damaskjunction.lab.soak.cut_checks import Tries, first_tries_in
from damaskjunction.lab.soak.faults import (
    STORE_FAULTS,
    faults,
    kills_all_hosts,
    variant,
)
from damaskjunction.lab.soak.folders import make_folder
from damaskjunction.lab.soak.history import (
    Call,
    Cancellation,
    CrashReport,
    Event,
    FaultFreePeriod,
    FaultSpan,
    History,
    HostCut,
    HostDisturbance,
    HostExit,
    HostReload,
    HostStop,
    MemoryPeak,
    MixedBuilds,
    NamedLimit,
    ProcessorUse,
    ResultsRead,
    Room,
    Run,
    RunEnd,
    RunnerEnd,
    RunnerLife,
    Stall,
    Submission,
)
from damaskjunction.lab.soak.observer import Observer
from damaskjunction.lab.soak.owed import Span
from damaskjunction.lab.soak.release_faults import plan_release
from damaskjunction.lab.soak.rig import SoakRig
from damaskjunction.lab.soak.runner_paths import Cut
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
    "Build",
    "BuildError",
    "Call",
    "Callers",
    "Cancellation",
    "CrashReport",
    "Cut",
    "Event",
    "FaultFreePeriod",
    "FaultSpan",
    "History",
    "HostCut",
    "HostDisturbance",
    "HostExit",
    "HostReload",
    "HostStop",
    "MemoryPeak",
    "MixedBuilds",
    "NamedLimit",
    "Observer",
    "ProcessorUse",
    "RecordedEvents",
    "ResultsRead",
    "Room",
    "Run",
    "RunEnd",
    "RunnerEnd",
    "RunnerLife",
    "ScheduledFault",
    "SoakOptions",
    "SoakReport",
    "SoakRig",
    "Span",
    "Stall",
    "Submission",
    "Tries",
    "checks",
    "describe_own_process",
    "export_build",
    "faults",
    "find_violations",
    "first_tries_in",
    "kills_all_hosts",
    "make_folder",
    "make_schedule",
    "plan_release",
    "run_soak",
    "variant",
]
