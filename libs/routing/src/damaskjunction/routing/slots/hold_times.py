"""Estimate of the time for which requests hold a slot."""

from __future__ import annotations

SMOOTHING = 0.05  # weight of a new sample in the mean
DEVIATION_SMOOTHING = 0.1  # weight of a new sample in the mean deviation
MIN_SAMPLES = 60  # after which the initial mean has 0.05 of its weight left
N_DEVIATIONS = 2.0  # above the mean; few requests hold their slot for longer


class HoldTimes:
    """Smoothed mean and mean deviation of hold times, in seconds.

    ``is_learnt`` says that the initial mean has lost its weight.

    Parameters
    ----------
    initial_s : float
        The mean as long as there are no samples.
    """

    def __init__(self, initial_s: float) -> None:
        self.n_samples = 0
        self.mean_s = initial_s
        self._deviation_s = 0.0

    @property
    def is_learnt(self) -> bool:
        """Whether the mean is that of samples."""
        return self.n_samples >= MIN_SAMPLES

    @property
    def high_s(self) -> float:
        """A hold time that few requests exceed."""
        return self.mean_s + N_DEVIATIONS * self._deviation_s

    def observe(self, sample_s: float) -> None:
        """Take a request's hold time into account."""
        self.n_samples += 1
        gap_s = sample_s - self.mean_s
        self.mean_s += SMOOTHING * gap_s
        self._deviation_s += DEVIATION_SMOOTHING * (abs(gap_s) - self._deviation_s)
