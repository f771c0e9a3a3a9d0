"""Which batch slots are revoked for waiting online requests."""

from __future__ import annotations

from collections.abc import Collection

from damaskjunction.core import RunnerId
from damaskjunction.routing.slots.held_slots import HeldSlots
from damaskjunction.routing.slots.rate_limits import RateLimiter
from damaskjunction.routing.slots.slot_demand import SlotDemand
from damaskjunction.routing.slots.slot_types import RevokeSlot


def revoke_batch(
    held: HeldSlots,
    demand: SlotDemand,
    usable: Collection[RunnerId],
    rate_limiter: RateLimiter,
    now_s: float,
) -> list[RevokeSlot]:
    """Revoke the latest granted batch slots, as many as online requests want.

    Slots that are revoked but not released yet count towards the demand. Those of
    runners that take no request now are left, as they would help nobody.
    """
    for request_id in held.revoked_ids:
        demand.take(held.batch_by_id[request_id].runner_id)
    effects: list[RevokeSlot] = []
    for request_id, slot in reversed(held.batch_by_id.items()):
        if demand.is_met:
            break
        if request_id in held.revoked_ids or slot.runner_id not in usable:
            continue
        has_tokens = rate_limiter.tokens(slot.runner_id, now_s) >= 1.0
        if has_tokens and demand.take(slot.runner_id):
            effects.append(RevokeSlot(request_id))
    held.revoked_ids.update(effect.request_id for effect in effects)
    return effects
