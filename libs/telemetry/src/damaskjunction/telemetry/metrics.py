"""Counters, gauges and latency histograms, with their text exposition format."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MIN_DURATION_US = 1
MAX_DURATION_US = 3600 * 1_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
MICROSECONDS_PER_S = 1_000_000


class SeriesKey(NamedTuple):
    """Identity of a time series: metric name and sorted label pairs."""

    name: str
    labels: tuple[tuple[str, str], ...]


class Metrics:
    """Metrics of a process; a name ends in the unit of its values, if any."""

    def __init__(self) -> None:
        self._counts_by_key: dict[SeriesKey, float] = {}
        self._gauges_by_name: dict[str, Callable[[], float]] = {}
        self._histograms_by_key: dict[SeriesKey, HdrHistogram] = {}

    def count(self, name: str, amount: float = 1.0, **labels: str) -> None:
        """Increment a counter by ``amount``."""
        key = _series_key(name, labels)
        self._counts_by_key[key] = self._counts_by_key.get(key, 0.0) + amount

    def gauge(self, name: str, read: Callable[[], float]) -> None:
        """Register a gauge; ``read`` is called whenever the metrics are rendered."""
        self._gauges_by_name[name] = read

    def observe_duration(self, name: str, duration_s: float, **labels: str) -> None:
        """Record a duration, in seconds, in a histogram."""
        key = _series_key(name, labels)
        histogram = self._histograms_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
            self._histograms_by_key[key] = histogram
        histogram.record_value(
            max(MIN_DURATION_US, int(duration_s * MICROSECONDS_PER_S))
        )

    def percentile_s(self, name: str, percentile: float, **labels: str) -> float:
        """Return a percentile of a histogram in seconds, or 0 if it has no values."""
        histogram = self._histograms_by_key.get(_series_key(name, labels))
        if histogram is None:
            return 0.0
        value: int = histogram.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_S

    def to_text(self) -> str:
        """Return all metrics as text, one series per line, sorted."""
        lines = [
            f"{_format_series(key)} {value:g}"
            for key, value in self._counts_by_key.items()
        ]
        for name, read in self._gauges_by_name.items():
            lines.append(f"{name} {read():g}")
        for key, histogram in self._histograms_by_key.items():
            lines += _format_histogram(key, histogram)
        return "\n".join(sorted(lines)) + "\n"


def _series_key(name: str, labels: Mapping[str, str]) -> SeriesKey:
    return SeriesKey(name, tuple(sorted(labels.items())))


def _format_series(key: SeriesKey) -> str:
    if not key.labels:
        return key.name
    labels = ",".join(f'{name}="{value}"' for name, value in key.labels)
    return f"{key.name}{{{labels}}}"


def _format_histogram(key: SeriesKey, histogram: HdrHistogram) -> list[str]:
    lines = []
    for percentile in PERCENTILES:
        value = histogram.get_value_at_percentile(percentile) / MICROSECONDS_PER_S
        labels = (*key.labels, ("quantile", f"{percentile / 100:g}"))
        lines.append(f"{_format_series(SeriesKey(key.name, labels))} {value:g}")
    count_key = SeriesKey(f"{key.name}_count", key.labels)
    lines.append(f"{_format_series(count_key)} {histogram.get_total_count()}")
    return lines
