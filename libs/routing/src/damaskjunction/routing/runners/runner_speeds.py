"""Relative speeds of runners, learnt from how long their requests take."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from damaskjunction.core import RunnerId

HALF_LIFE_S = 5.0  # after which a sample counts half
SMOOTHING = 0.05  # weight of a new duration in the mean of its kind
PRIOR_WEIGHT = 10.0  # samples as which the assumption of an even runner counts
MIN_RATIO, MAX_RATIO = 0.4, 2.5  # bounds of a sample; one alone tells nothing
JITTER_S = 0.01  # of hosts and links, in any duration
MAX_TRACKED = 4096  # runners, the latest ones
TOLERANCE = 0.15  # by which runners of the same kind differ


class _Samples(NamedTuple):
    """Sum and weight of the samples of a runner, as of ``at_s``."""

    total: float
    weight: float
    at_s: float


class _Durations(NamedTuple):
    """Sum and weight of the latest durations of a kind of request at all runners."""

    total_s: float = 0.0
    weight: float = 0.0


class RunnerSpeeds:
    """How long each runner takes for a request, in relation to all runners.

    A sample is the duration of a request divided by the mean duration of its kind. A
    runner without recent samples counts as even, so that a slow one is tried again.

    Parameters
    ----------
    half_life_s : float, optional
        Time in seconds after which a sample counts half.
    """

    def __init__(self, half_life_s: float = HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        self._samples_by_runner: dict[RunnerId, _Samples] = {}
        self._durations_by_kind: dict[str, _Durations] = {}

    def observe(
        self, runner_id: RunnerId, kind: str, duration_s: float, now_s: float
    ) -> None:
        """Take the duration of a request of a kind into account."""
        mean_s = self._update_mean(kind, duration_s)
        ratio = (duration_s + JITTER_S) / (mean_s + JITTER_S)
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        former = self._samples_by_runner.pop(runner_id, _Samples(0.0, 0.0, now_s))
        kept = self._kept_share(former, now_s)
        self._samples_by_runner[runner_id] = _Samples(
            former.total * kept + ratio, former.weight * kept + 1.0, now_s
        )
        if len(self._samples_by_runner) > MAX_TRACKED:
            del self._samples_by_runner[next(iter(self._samples_by_runner))]

    def _update_mean(self, kind: str, duration_s: float) -> float:
        """Add a duration and return the mean, which the first ones alone make up."""
        former = self._durations_by_kind.get(kind, _Durations())
        updated = _Durations(
            former.total_s * (1 - SMOOTHING) + duration_s,
            former.weight * (1 - SMOOTHING) + 1.0,
        )
        self._durations_by_kind[kind] = updated
        return updated.total_s / updated.weight

    def time_factor(self, runner_id: RunnerId, now_s: float) -> float:
        """Return the expected duration at a runner, relative to the mean.

        A difference within ``TOLERANCE`` counts as none.
        """
        samples = self._samples_by_runner.get(runner_id)
        if samples is None:
            return 1.0
        kept = self._kept_share(samples, now_s)
        weight = samples.weight * kept + PRIOR_WEIGHT
        factor = (samples.total * kept + PRIOR_WEIGHT) / weight
        return 1.0 if abs(factor - 1.0) <= TOLERANCE else factor

    def forget(self, runner_id: RunnerId) -> None:
        """Drop what is known of a runner that failed, as its requests ended early."""
        self._samples_by_runner.pop(runner_id, None)

    def retain_runners(self, runner_ids: Collection[RunnerId]) -> None:
        """Drop what is known of all runners not in ``runner_ids``."""
        for runner_id in self._samples_by_runner.keys() - set(runner_ids):
            del self._samples_by_runner[runner_id]

    def to_document(self) -> dict[RunnerId, float]:
        """Return the relative durations by runner, as of their last samples."""
        return {
            runner_id: round(self.time_factor(runner_id, samples.at_s), 2)
            for runner_id, samples in sorted(self._samples_by_runner.items())
        }

    def _kept_share(self, samples: _Samples, now_s: float) -> float:
        """Return the share of the weight of samples that is left."""
        return float(0.5 ** (max(0.0, now_s - samples.at_s) / self._half_life_s))
