"""Estimate of the time for which requests hold a slot."""

from __future__ import annotations

SMOOTHING = 0.05  # weight of a new sample in the mean
DEVIATION_SMOOTHING = 0.1  # weight of a new sample in the mean deviation
N_DEVIATIONS = 2.0  # above the mean; few requests hold their slot for longer


class HoldTimes:
    """Smoothed mean and mean deviation of hold times, in seconds.

    Parameters
    ----------
    initial_s : float
        The mean as long as there are no samples.
    """

    def __init__(self, initial_s: float) -> None:
        self.mean_s = initial_s
        self._deviation_s = 0.0

    @property
    def high_s(self) -> float:
        """A hold time that few requests exceed."""
        return self.mean_s + N_DEVIATIONS * self._deviation_s

    def observe(self, sample_s: float) -> None:
        """Take a request's hold time into account."""
        gap_s = sample_s - self.mean_s
        self.mean_s += SMOOTHING * gap_s
        self._deviation_s += DEVIATION_SMOOTHING * (abs(gap_s) - self._deviation_s)
