"""Reports of experiments: a JSON file, a PNG file per plot and a text table."""

from __future__ import annotations

import json
from pathlib import Path

import matplotlib

from damaskjunction.lab.experiments import ExperimentOptions, ExperimentResult, Plot

matplotlib.use("Agg")

from matplotlib import pyplot


def report_to_document(
    name: str, options: ExperimentOptions, result: ExperimentResult
) -> dict[str, object]:
    """Return the JSON report of a run."""
    return {
        "experiment": name,
        "seed": options.seed,
        "scale": options.scale,
        "figures": [figure._asdict() for figure in result.figures],
        "details": dict(result.details),
    }


def write_report(
    folder: Path, name: str, options: ExperimentOptions, result: ExperimentResult
) -> None:
    """Write the JSON report and the plots of a run to a folder, created if missing."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}-{options.seed}.json"
    path.write_text(
        json.dumps(report_to_document(name, options, result), indent=1) + "\n"
    )
    for number, plot in enumerate(result.plots, start=1):
        _save_plot(plot, folder / f"{name}-{options.seed}-{number}.png")


def format_table(result: ExperimentResult) -> str:
    """Return the figures as a text table with one figure per line."""
    labels = {True: "met", False: "NOT MET", None: ""}
    lines = [
        f"{figure.name:<48} {figure.value:>12.4g} {figure.unit:<10} "
        f"{figure.target:<12} {labels[figure.is_met]}".rstrip()
        for figure in result.figures
    ]
    return "\n".join(lines)


def _save_plot(plot: Plot, path: Path) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for series in plot.series:
        axes.plot(*zip(*series.points, strict=True), marker="o", label=series.name)
    axes.set_title(plot.title)
    axes.set_xlabel(plot.x_label)
    axes.set_ylabel(plot.y_label)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
