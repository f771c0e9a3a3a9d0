"""The dependencies shared by the parts that send requests to runners."""

from __future__ import annotations

import random
from typing import NamedTuple

from damaskjunction.core import Timers
from damaskjunction.gateway.runner_client import RunnerClient
from damaskjunction.gateway.slot_client import SlotClient
from damaskjunction.gateway.state import ServingState
from damaskjunction.telemetry import Metrics


class DispatchContext(NamedTuple):
    """Routes and runners, slots, the client of runners, timers, metrics and the RNG."""

    state: ServingState
    slot_client: SlotClient
    runner_client: RunnerClient
    timers: Timers
    metrics: Metrics
    rng: random.Random
