"""Rate limits that runners name, and their enforcement by the home of a service.

A runner in need names the number of requests a second that it takes from all hosts
together. Each host tells the home what it has seen with each request for a slot, so a
home that is new or was restarted knows the limits before it grants one.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from typing import NamedTuple

from damaskjunction.core import RunnerId
from damaskjunction.core.units import MINUTE_S

NO_LIMIT_PER_S = math.inf
# A runner that takes less is still sent so many, to see when its limit ends.
MIN_RATE_PER_S = 0.25
BURST_S = 0.5  # of the limit's requests; at least MIN_BURST
MIN_BURST = 2.0
BATCH_TOKENS = 2.0  # that must be left, so that batch leaves one for online
OBSERVATION_TTL_S = MINUTE_S
MAX_REPORTED = 16


class RunnerLimit(NamedTuple):
    """Limit that a runner named ``age_s`` seconds ago; ``NO_LIMIT_PER_S`` for none."""

    runner_id: RunnerId
    limit_per_s: float
    age_s: float


class _Observation(NamedTuple):
    limit_per_s: float
    at_s: float


class LimitObservations:
    """The limits that one host has seen runners name, the newest of each."""

    def __init__(self) -> None:
        self._observations_by_runner: dict[RunnerId, _Observation] = {}
        self._awaited_ids: set[RunnerId] = set()

    @property
    def is_empty(self) -> bool:
        """Whether no runner has named a limit lately."""
        return not self._observations_by_runner

    def record(self, runner_id: RunnerId, limit_per_s: float, now_s: float) -> bool:
        """Record what an answer named; return whether that is a change.

        A runner without a limit is recorded only if it had one, or if its answer was
        awaited.
        """
        known = self._observations_by_runner.pop(runner_id, None)
        is_awaited = runner_id in self._awaited_ids
        self._awaited_ids.discard(runner_id)
        if known is None and limit_per_s == NO_LIMIT_PER_S and not is_awaited:
            return False
        self._observations_by_runner[runner_id] = _Observation(limit_per_s, now_s)
        return known is None or known.limit_per_s != limit_per_s

    def await_answer(self, runner_id: RunnerId) -> None:
        """Await the next answer of a runner that is limited by what others have told.

        They may be gone, and nobody else may know that its limit has ended.
        """
        self._awaited_ids.add(runner_id)

    def is_limited(self, runner_id: RunnerId) -> bool:
        """Return whether a runner named a limit in its last answer."""
        known = self._observations_by_runner.get(runner_id)
        return known is not None and known.limit_per_s != NO_LIMIT_PER_S

    def of_runners(
        self, runner_ids: Collection[RunnerId], now_s: float
    ) -> tuple[RunnerLimit, ...]:
        """Return the newest observations of these runners, ``MAX_REPORTED`` at most."""
        for runner_id, known in list(self._observations_by_runner.items()):
            if now_s - known.at_s > OBSERVATION_TTL_S:
                del self._observations_by_runner[runner_id]
        found = [
            RunnerLimit(runner_id, known.limit_per_s, now_s - known.at_s)
            for runner_id, known in self._observations_by_runner.items()
            if runner_id in runner_ids
        ]
        return tuple(found[-MAX_REPORTED:])


class _Bucket(NamedTuple):
    """Token bucket; ``observed_at_s`` is when the runner named its limit."""

    limit_per_s: float
    observed_at_s: float
    tokens: float
    filled_at_s: float


class RateLimiter:
    """Token buckets of the runners that have named a limit; a new one is empty."""

    def __init__(self) -> None:
        self._buckets_by_runner: dict[RunnerId, _Bucket] = {}

    def observe(self, limits: Iterable[RunnerLimit], now_s: float) -> None:
        """Apply observed limits, the newest of each runner."""
        for runner_id, limit_per_s, age_s in limits:
            at_s = now_s - age_s
            bucket = self._buckets_by_runner.get(runner_id)
            if bucket is None:
                bucket = _Bucket(NO_LIMIT_PER_S, -math.inf, 0.0, now_s)
            if at_s < bucket.observed_at_s:
                continue
            if bucket.limit_per_s == NO_LIMIT_PER_S:
                bucket = bucket._replace(tokens=0.0, filled_at_s=now_s)
            self._buckets_by_runner[runner_id] = _refill(bucket, now_s)._replace(
                limit_per_s=limit_per_s, observed_at_s=at_s
            )

    def retain_runners(self, runner_ids: Collection[RunnerId]) -> None:
        """Drop the buckets of all runners not in ``runner_ids``."""
        for runner_id in self._buckets_by_runner.keys() - set(runner_ids):
            del self._buckets_by_runner[runner_id]

    def tokens(self, runner_id: RunnerId, now_s: float) -> float:
        """Return how many requests a runner takes now, infinity without a limit."""
        bucket = self._limited_bucket(runner_id)
        return math.inf if bucket is None else _refill(bucket, now_s).tokens

    def burst(self, runner_id: RunnerId) -> float:
        """Return how many requests an idle runner takes at once, infinity for any."""
        bucket = self._limited_bucket(runner_id)
        return math.inf if bucket is None else _capacity(bucket)

    def is_limited(self, runner_id: RunnerId) -> bool:
        """Return whether a runner has named a limit that still holds."""
        return self._limited_bucket(runner_id) is not None

    def preferred(
        self, runner_ids: list[RunnerId], *, are_limited: bool
    ) -> list[RunnerId]:
        """Return the runners with a limit or those without one, all if there are none.

        A limit counts starts, and a start serves a batch request for longer, so those
        with a limit suit batch while both classes wait.
        """
        preferred = [r for r in runner_ids if self.is_limited(r) == are_limited]
        return preferred or runner_ids

    def _limited_bucket(self, runner_id: RunnerId) -> _Bucket | None:
        """Return the bucket of a runner with a limit, None for any other."""
        bucket = self._buckets_by_runner.get(runner_id)
        if bucket is None or bucket.limit_per_s == NO_LIMIT_PER_S:
            return None
        return bucket

    def take(self, runner_id: RunnerId, now_s: float) -> None:
        """Record that a request goes to a runner."""
        bucket = self._limited_bucket(runner_id)
        if bucket is not None:
            bucket = _refill(bucket, now_s)
            left = max(0.0, bucket.tokens - 1.0)
            self._buckets_by_runner[runner_id] = bucket._replace(tokens=left)

    def limit_per_s(self, runner_id: RunnerId) -> float:
        """Return the rate at which a runner is given requests, infinity for any."""
        bucket = self._buckets_by_runner.get(runner_id)
        return math.inf if bucket is None else max(bucket.limit_per_s, MIN_RATE_PER_S)

    def to_document(self) -> dict[str, float]:
        """Return the limit of each limited runner, in requests a second."""
        return {
            runner_id: bucket.limit_per_s
            for runner_id, bucket in self._buckets_by_runner.items()
            if bucket.limit_per_s != NO_LIMIT_PER_S
        }


def _rate_per_s(bucket: _Bucket) -> float:
    return max(bucket.limit_per_s, MIN_RATE_PER_S)


def _capacity(bucket: _Bucket) -> float:
    return max(MIN_BURST, BURST_S * _rate_per_s(bucket))


def _refill(bucket: _Bucket, now_s: float) -> _Bucket:
    rate_per_s = _rate_per_s(bucket)
    if rate_per_s == NO_LIMIT_PER_S:
        return bucket
    filled = bucket.tokens + rate_per_s * max(0.0, now_s - bucket.filled_at_s)
    tokens = min(filled, _capacity(bucket))
    return bucket._replace(tokens=tokens, filled_at_s=now_s)
