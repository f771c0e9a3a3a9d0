"""What the runners of a service have to offer to online requests."""

from __future__ import annotations

from collections.abc import Mapping

from damaskjunction.core import RunnerId
from damaskjunction.routing.slots.held_slots import HeldSlots
from damaskjunction.routing.slots.rate_limits import RateLimiter
from damaskjunction.routing.slots.wait_forecast import RunnerSupply


def runner_supplies(
    slots_by_runner: Mapping[RunnerId, int],
    held: HeldSlots,
    rate_limiter: RateLimiter,
    now_s: float,
) -> list[RunnerSupply]:
    """Return the supplies of runners, by the slots that requests of hosts may hold.

    Batch requests give way, so only online ones count as held.
    """
    return [
        RunnerSupply(
            n_slots,
            n_slots - held.online_by_runner[runner_id],
            rate_limiter.tokens(runner_id, now_s),
            rate_limiter.limit_per_s(runner_id),
        )
        for runner_id, n_slots in slots_by_runner.items()
    ]
