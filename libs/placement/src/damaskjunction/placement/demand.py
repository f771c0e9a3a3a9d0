"""Estimates how many runners the online load of each service requires."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Mapping
from typing import NamedTuple

from damaskjunction.core import Configuration, ServiceName

SMOOTHING_TIME_CONSTANT_S = 10.0
PEAKS_PER_WINDOW = 30


class _Peak(NamedTuple):
    at_s: float
    in_flight: float


class _LoadHistory:
    """Smoothed load of one service and its maximum over a sliding window.

    The peaks form a deque of decreasing values, the first of which is the maximum. They
    are at least ``window_s / PEAKS_PER_WINDOW`` apart, which bounds the deque's length.
    """

    def __init__(self) -> None:
        self._recorded_at_s: float | None = None
        self._smoothed = 0.0
        self._peaks: deque[_Peak] = deque()

    def record(self, now_s: float, in_flight: float, window_s: float) -> None:
        self._smooth(now_s, in_flight)
        while self._peaks and self._peaks[-1].in_flight <= self._smoothed:
            self._peaks.pop()
        starts_interval = not self._peaks or (
            now_s - self._peaks[-1].at_s >= window_s / PEAKS_PER_WINDOW
        )
        if starts_interval:
            self._peaks.append(_Peak(now_s, self._smoothed))
        while len(self._peaks) > 1 and self._peaks[0].at_s < now_s - window_s:
            self._peaks.popleft()

    def _smooth(self, now_s: float, in_flight: float) -> None:
        if self._recorded_at_s is None:
            self._smoothed = in_flight
        else:
            weight = 1 - math.exp(
                (self._recorded_at_s - now_s) / SMOOTHING_TIME_CONSTANT_S
            )
            self._smoothed += weight * (in_flight - self._smoothed)
        self._recorded_at_s = now_s

    def peak(self) -> float:
        return self._peaks[0].in_flight if self._peaks else 0.0


class DemandEstimator:
    """Estimates the runners that each service requires, with hysteresis.

    The estimate follows the highest smoothed load of the last ``scale_down_after_s``
    of the service: it rises as soon as the load does, and falls only after the load
    has been lower for that long.
    """

    def __init__(self) -> None:
        self._histories_by_service: dict[ServiceName, _LoadHistory] = {}

    def record(
        self,
        now_s: float,
        configuration: Configuration,
        in_flight_by_service: Mapping[ServiceName, float],
    ) -> None:
        """Record the online requests that are running or queued now, by service."""
        services = configuration.services_by_name
        for name in self._histories_by_service.keys() - services.keys():
            del self._histories_by_service[name]
        for name, service in services.items():
            history = self._histories_by_service.setdefault(name, _LoadHistory())
            in_flight = in_flight_by_service.get(name, 0.0)
            history.record(now_s, in_flight, service.scale_down_after_s)

    def required_runners(self, configuration: Configuration) -> dict[ServiceName, int]:
        """Return how many runners the load requires, before the configured bounds."""
        return {
            name: math.ceil(history.peak() / service.in_flight_per_runner)
            for name, history in self._histories_by_service.items()
            if (service := configuration.services_by_name.get(name)) is not None
        }
