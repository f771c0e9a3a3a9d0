"""Registry of experiments: each runs with a seed and returns measurements."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Mapping
from typing import Any, NamedTuple, TypeAlias

from damaskjunction.core import Registry
from damaskjunction.core.types import EMPTY


class Figure(NamedTuple):
    """One measurement and the target that it is compared with.

    ``unit`` is printed after the value; ``target`` is text such as ``"<= 1.10"``, empty
    if there is none; ``is_met`` is None if there is no target.
    """

    name: str
    value: float
    unit: str = ""
    target: str = ""
    is_met: bool | None = None


class Series(NamedTuple):
    """One line of a plot, as ``(x, y)`` points."""

    name: str
    points: tuple[tuple[float, float], ...]


class Plot(NamedTuple):
    """A line plot in the report of an experiment."""

    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]


class ExperimentResult(NamedTuple):
    """Measurements and plots of one run of an experiment.

    ``details`` holds further data for the JSON report.
    """

    figures: tuple[Figure, ...]
    plots: tuple[Plot, ...] = ()
    details: Mapping[str, Any] = EMPTY


class ExperimentOptions(NamedTuple):
    """Options of a run; ``scale`` multiplies its length or number of trials."""

    seed: int = 1
    scale: float = 1.0


Experiment: TypeAlias = Callable[
    [ExperimentOptions], Coroutine[Any, Any, ExperimentResult]
]

experiments: Registry[Experiment] = Registry("experiment")


def at_most(name: str, value: float, bound: float, unit: str = "") -> Figure:
    """Return a figure whose target is the upper limit ``bound``."""
    return Figure(name, value, unit, f"<= {bound:g}", value <= bound)


def at_least(name: str, value: float, bound: float, unit: str = "") -> Figure:
    """Return a figure whose target is the lower limit ``bound``."""
    return Figure(name, value, unit, f">= {bound:g}", value >= bound)
