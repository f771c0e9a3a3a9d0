"""Scores by which the home of a service chooses the runner for a request."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry

PREFIX_WEIGHT = 0.6  # of the cached fraction; the free fraction has weight 1
# What is cached outside will be cached inside after one request.
OUTSIDE_PREFIX_WEIGHT = 0.3
DOUBT_WEIGHT = 0.75  # a sound runner may be so much fuller


class RunnerFigures(NamedTuple):
    """What is known of a runner that may be given a request.

    ``cached_share`` is the fraction of the prompt that it has cached, ``time_factor``
    its expected duration of a request in relation to all runners. ``is_outside`` says
    that it is outside the data centre of the asking host while that one has runners
    enough, and ``leaving_cost`` what that costs, in the unit of the score. ``doubt`` is
    the doubt about the runner, from 0 to 1, where the request has no other attempt.
    """

    n_slots: int
    n_free: int
    cached_share: float
    time_factor: float = 1.0
    is_outside: bool = False
    leaving_cost: float = 0.0
    doubt: float = 0.0


RunnerScore: TypeAlias = Callable[[RunnerFigures], float]

runner_scores: Registry[RunnerScore] = Registry("runner score")


@runner_scores.register("free_slots")
def score_free_slots(figures: RunnerFigures) -> float:
    """Return the score by free slots and cached prefix alone."""
    free_share = figures.n_free / figures.n_slots
    return free_share + PREFIX_WEIGHT * figures.cached_share


@runner_scores.register("expected_completion")
def score_expected_completion(figures: RunnerFigures) -> float:
    """Return the score by the expected completion of the request.

    Each request at a slow runner, this one included, counts for more than one slot. For
    even runners inside, the score is that of ``free_slots``, but for runners in doubt.
    """
    n_taken = figures.n_slots - figures.n_free + 1
    delay = (figures.time_factor - 1.0) * n_taken / figures.n_slots
    score = figures.n_free / figures.n_slots - delay - DOUBT_WEIGHT * figures.doubt
    if not figures.is_outside:
        return score + PREFIX_WEIGHT * figures.cached_share
    cached = OUTSIDE_PREFIX_WEIGHT * figures.cached_share
    return score + cached - figures.leaving_cost
