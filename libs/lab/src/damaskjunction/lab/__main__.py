"""Command line: demo, fleet, soak and experiments.

Usage: ``python -m damaskjunction.lab {demo,fleet,soak,list,run} ...``.
"""

from __future__ import annotations

import argparse
import asyncio
import shutil
import sys
from pathlib import Path

import damaskjunction.lab.admission
import damaskjunction.lab.batch
import damaskjunction.lab.batch_faults
import damaskjunction.lab.call_cost
import damaskjunction.lab.control
import damaskjunction.lab.editors
import damaskjunction.lab.faults
import damaskjunction.lab.online
import damaskjunction.lab.peak
import damaskjunction.lab.placement
import damaskjunction.lab.planning
import damaskjunction.lab.relay_cost  # noqa: F401 - registers its experiments
from damaskjunction.lab.demo import run_demo
from damaskjunction.lab.experiments import ExperimentOptions, experiments
from damaskjunction.lab.playground import run_playground
from damaskjunction.lab.report import format_table, write_report
from damaskjunction.lab.soak import (
    SoakOptions,
    export_build,
    make_folder,
    run_soak,
)
from damaskjunction.standins import deployments


def main() -> None:
    """Run the selected command.

    The exit code of ``run`` is 1 when the experiment misses a target, that of ``soak``
    the number of seeds with violations.
    """
    parser = argparse.ArgumentParser(prog="damaskjunction.lab")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser(
        "demo", help="start the lima deployment and send one request of each kind"
    )
    fleet = commands.add_parser("fleet", help="run a fleet until interrupted")
    fleet.add_argument("deployment", choices=list(deployments))
    soak = commands.add_parser("soak", help="inject random faults into real processes")
    soak.add_argument("--seed", type=int, default=1, help="seed of the first soak")
    soak.add_argument("--runs", type=int, default=1, help="number of consecutive seeds")
    soak.add_argument(
        "--seconds", type=float, default=60.0, help="seconds of faults in each soak"
    )
    soak.add_argument("--hosts", type=int, default=4)
    soak.add_argument("--engines", type=int, default=4)
    soak.add_argument(
        "--lull", type=float, default=12.0, help="seconds between series of faults"
    )
    soak.add_argument("--faults", nargs="*", default=(), help="kinds, by default all")
    soak.add_argument(
        "--upgrade-from",
        metavar="COMMIT",
        help="roll the hosts from this commit's build to the present one and back",
    )
    soak.add_argument("--keep", type=Path, default=Path("build/soak"))
    commands.add_parser("list", help="list the experiments")
    run = commands.add_parser("run", help="run an experiment")
    run.add_argument("experiment", choices=list(experiments))
    run.add_argument("--seed", type=int, default=1)
    run.add_argument(
        "--scale", type=float, default=1.0, help="factor for the length of the run"
    )
    run.add_argument("--out", type=Path, default=Path("build/lab"))
    arguments = parser.parse_args()
    if arguments.command == "demo":
        asyncio.run(run_demo())
    elif arguments.command == "fleet":
        asyncio.run(run_playground(arguments.deployment))
    elif arguments.command == "soak":
        sys.exit(_run_soaks(arguments))
    elif arguments.command == "list":
        print("\n".join(experiments))
    else:
        sys.exit(_run_experiment(arguments))


def _run_soaks(arguments: argparse.Namespace) -> int:
    """Run a soak for each seed; return how many violated a guarantee.

    Settings and logs of its hosts are in a folder of its own, which is deleted if no
    guarantee was violated; otherwise ``schedule.txt`` in it lists the injected faults.
    """
    n_violated = 0
    former_build = None
    if arguments.upgrade_from:
        former_build = asyncio.run(export_build(arguments.upgrade_from))
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        print(f"seed {seed}: {arguments.seconds:g} s of faults", flush=True)
        folder = make_folder(arguments.keep, str(seed))
        options = SoakOptions(
            seed,
            arguments.seconds,
            arguments.hosts,
            arguments.engines,
            lull_s=arguments.lull,
            kinds=tuple(arguments.faults),
            former_build=former_build,
        )
        report = asyncio.run(run_soak(options, folder))
        for violation in report.violations:
            print(f"seed {seed} violation: {violation}")
        if report.violations:
            print(f"seed {seed}: kept in {folder}")
        print(f"seed {seed}: the soak's own process: {report.own_process}")
        print(f"seed {seed}: {report.figures}", flush=True)
        if report.violations:
            n_violated += 1
            (folder / "schedule.txt").write_text(
                "".join(f"{fault}\n" for fault in report.schedule)
            )
        else:
            shutil.rmtree(folder)
    return n_violated


def _run_experiment(arguments: argparse.Namespace) -> int:
    options = ExperimentOptions(arguments.seed, arguments.scale)
    result = asyncio.run(experiments.get(arguments.experiment)(options))
    write_report(arguments.out, arguments.experiment, options, result)
    print(format_table(result))
    return int(any(figure.is_met is False for figure in result.figures))


if __name__ == "__main__":
    main()
