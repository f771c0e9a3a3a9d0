"""Experiments by name: each runs with a seed and returns figures."""

from __future__ import annotations

from collections.abc import Callable, Coroutine, Mapping
from typing import Any, NamedTuple, TypeAlias

from damaskjunction.core import Registry
from damaskjunction.core.types import EMPTY


class Figure(NamedTuple):
    """One measured figure, and the target that it is held against.

    ``unit`` is as written after the number; ``target`` is text such as ``"<= 1.10"``,
    empty where none is stated; ``is_met`` is None where there is no target.
    """

    name: str
    value: float
    unit: str = ""
    target: str = ""
    is_met: bool | None = None


class Series(NamedTuple):
    """Points of one line of a plot."""

    name: str
    points: tuple[tuple[float, float], ...]


class Plot(NamedTuple):
    """A plot of the report."""

    title: str
    x_label: str
    y_label: str
    series: tuple[Series, ...]


class ExperimentResult(NamedTuple):
    """What an experiment found out.

    ``details`` is a JSON document for whoever looks closer.
    """

    figures: tuple[Figure, ...]
    plots: tuple[Plot, ...] = ()
    details: Mapping[str, Any] = EMPTY


class ExperimentOptions(NamedTuple):
    """Options of a run; ``scale`` shortens (< 1) or lengthens it."""

    seed: int = 1
    scale: float = 1.0


Experiment: TypeAlias = Callable[
    [ExperimentOptions], Coroutine[Any, Any, ExperimentResult]
]

experiments: Registry[Experiment] = Registry("experiment")


def at_most(name: str, value: float, bound: float, unit: str = "") -> Figure:
    """Return a figure whose target is an upper bound."""
    return Figure(name, value, unit, f"<= {bound:g}", value <= bound)


def at_least(name: str, value: float, bound: float, unit: str = "") -> Figure:
    """Return a figure whose target is a lower bound."""
    return Figure(name, value, unit, f">= {bound:g}", value >= bound)
