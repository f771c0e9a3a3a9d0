"""Timeouts of a silent runner, after which another attempt may follow."""

from __future__ import annotations

from damaskjunction.gateway.requests.answer_stream import FIRST_EVENT_TIMEOUT_S
from damaskjunction.routing import Route, RouteKind

FIRST_EVENT_GOAL_FACTOR = 2.0
EVENT_GAP_TIMEOUT_S = 0.4
EVENT_GAP_GOAL_FACTOR = 2.0
RESPONSE_TIMEOUT_FRACTION = 0.4  # of the remaining time, for one plain attempt
MIN_RESPONSE_TIMEOUT_S = 0.25


def head_stall_timeout_s(
    route: Route, n_attempts_run: int, remaining_s: float
) -> float:
    """Return the stall timeout of a response's head and first event, in seconds."""
    is_last = n_attempts_run + 1 >= route.max_attempts
    if not route.may_repeat or is_last:
        return remaining_s
    if route.kind is RouteKind.STREAM:
        goal_s = FIRST_EVENT_GOAL_FACTOR * route.latency_goal_s
        return min(remaining_s, max(FIRST_EVENT_TIMEOUT_S, goal_s))
    return min(
        remaining_s,
        max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FRACTION * remaining_s),
    )


def gap_stall_timeout_s(route: Route, n_attempts_run: int, remaining_s: float) -> float:
    """Return the stall timeout between events of a stream, in seconds."""
    if not route.may_repeat or n_attempts_run + 1 >= route.max_attempts:
        return remaining_s
    goal_s = EVENT_GAP_GOAL_FACTOR * route.token_interval_goal_s
    return min(remaining_s, max(EVENT_GAP_TIMEOUT_S, goal_s))
