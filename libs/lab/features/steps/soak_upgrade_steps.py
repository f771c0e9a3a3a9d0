"""Steps of soak.feature about hosts of two builds side by side."""

from __future__ import annotations

import asyncio
import shutil
import tomllib
from pathlib import Path

from behave import when
from soak_histories import add_call, add_rooms

from damaskjunction.lab.soak import (
    BuildError,
    FaultSpan,
    MixedBuilds,
    SoakOptions,
    export_build,
    faults,
    make_folder,
    run_soak,
)

ROOT = Path(__file__).resolve().parents[4]
KEPT_FOLDER = Path("build/soak")
FAULT_PERIOD_S = 3.0  # the rest of the roll is calm
LATER_KIND = "engines paused"  # the schedule is that without it


def add_failures(history, n_served, n_failed):
    add_rooms(history, 25)
    history.mixed_builds.append(MixedBuilds(5.0, 15.0))
    for number in range(n_served + n_failed):
        status = 200 if number < n_served else 503
        add_call(history, f"order-{number}", status=status, at_s=10.0)


@when("most requests fail in calm while two builds serve")
def add_failures_in_calm(context):
    add_failures(context.history, 10, 20)


@when("most requests fail in a fault while two builds serve")
def add_failures_in_fault(context):
    add_failures(context.history, 10, 20)
    context.history.fault_spans.append(FaultSpan("store troubled", 9.0, 11.0))


@when(
    "a soak with seed {seed:d} rolls {n_hosts:d} hosts from the commit in production "
    "and back"
)
def run_upgrade(context, seed, n_hosts):
    deployment = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    try:
        former = asyncio.run(export_build(deployment["production"]))
    except BuildError as error:
        context.scenario.skip(f"the history is not there: {error}")
        return
    kinds = tuple(kind for kind in sorted(faults) if kind != LATER_KIND)
    options = SoakOptions(
        seed, FAULT_PERIOD_S, n_hosts, kinds=kinds, former_build=former
    )
    folder = make_folder(KEPT_FOLDER, f"upgrade-{seed}")
    context.report = asyncio.run(run_soak(options, folder))
    if not context.report.violations:
        shutil.rmtree(folder)
