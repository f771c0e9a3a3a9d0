"""Tickets of slot pools, from the messages that ask for slots."""

from __future__ import annotations

from damaskjunction.routing import SlotTicket
from damaskjunction.wire import SlotAsk


def slot_ticket(ask: SlotAsk, now_s: float) -> SlotTicket:
    """Return the ticket of a request for a slot that came at ``now_s``."""
    return SlotTicket(
        ask.request_id,
        ask.work_class,
        tuple(ask.parts),
        tuple(ask.avoid),
        now_s + ask.start_within_s,
        now_s + ask.due_in_s,
        now_s + ask.goal_in_s,
        ask.is_repeated,
        ask.software_version,
        ask.workspace,
        ask.data_centre,
        ask.is_only_attempt,
    )
