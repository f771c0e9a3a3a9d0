"""How long a runner may send nothing before another one is looked for."""

from __future__ import annotations

import math

from damaskjunction.gateway.requests.attempt_history import AttemptHistory
from damaskjunction.routing import Route, RouteKind

FIRST_EVENT_LIMIT_S = 0.6
FIRST_EVENT_GOAL_FACTOR = 2.0
EVENT_GAP_LIMIT_S = 0.4
EVENT_GAP_GOAL_FACTOR = 2.0
RESPONSE_TIME_FRACTION = 0.4  # of the remaining time, for one plain attempt
MIN_RESPONSE_LIMIT_S = 0.25


def head_silence_limit_s(
    route: Route, history: AttemptHistory, remaining_s: float
) -> float:
    """Return the limit before a response's head, and in a plain body, in seconds.

    Of a stream whose runner must not be left, it is the time after which the silence
    is reported, so that others are spared the runner. A plain answer that may not be
    asked for again has no limit.
    """
    if route.kind is RouteKind.STREAM:
        return _first_event_limit_s(route)
    if not history.may_retry_after_run(remaining_s):
        return math.inf
    return max(MIN_RESPONSE_LIMIT_S, RESPONSE_TIME_FRACTION * remaining_s)


def event_silence_limit_s(
    route: Route, history: AttemptHistory, is_begun: bool, remaining_s: float
) -> float:
    """Return the limit before the next event of a stream, in seconds.

    ``is_begun`` says that the runner has sent an event before. Of a runner that must
    not be left, it is the time after which its silence is reported.
    """
    if not history.may_retry_after_run(remaining_s):
        return FIRST_EVENT_LIMIT_S
    if not is_begun:
        return _first_event_limit_s(route)
    goal_s = EVENT_GAP_GOAL_FACTOR * route.token_interval_goal_s
    return max(EVENT_GAP_LIMIT_S, goal_s)


def _first_event_limit_s(route: Route) -> float:
    goal_s = FIRST_EVENT_GOAL_FACTOR * route.latency_goal_s
    return max(FIRST_EVENT_LIMIT_S, goal_s)
