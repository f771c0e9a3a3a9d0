"""The dependencies shared by the senders of online requests and batch items."""

from __future__ import annotations

import random
from typing import NamedTuple

from damaskjunction.core import Timers
from damaskjunction.gateway.quotas.quota_gate import QuotaGate
from damaskjunction.gateway.runners.crash_reporter import CrashReporter
from damaskjunction.gateway.runners.runner_client import RunnerClient
from damaskjunction.gateway.runners.runner_faults import RunnerFaults
from damaskjunction.gateway.runners.suspect_registry import SuspectRegistry
from damaskjunction.gateway.slots.slot_client import SlotClient
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.stream_origins import StreamOriginKeeper
from damaskjunction.gateway.versions.take_ups import TakeUpResolver
from damaskjunction.gateway.versions.version_registry import VersionRegistry
from damaskjunction.http import ReceiveBudget
from damaskjunction.telemetry import Metrics


class DispatchContext(NamedTuple):
    """What the senders of requests share.

    ``state`` has the routes and runners, ``budget`` bounds what is kept of responses,
    and ``quota_gate`` is told of requests that run once more.
    """

    state: ServingState
    slot_client: SlotClient
    runner_client: RunnerClient
    suspects: SuspectRegistry
    crash_reporter: CrashReporter
    runner_faults: RunnerFaults
    version_registry: VersionRegistry
    origin_keeper: StreamOriginKeeper
    take_ups: TakeUpResolver
    timers: Timers
    metrics: Metrics
    rng: random.Random
    budget: ReceiveBudget
    quota_gate: QuotaGate
