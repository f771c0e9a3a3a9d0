"""Run a stand-in as a process: ``python -m damaskjunction.standins KIND ...``."""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeAlias

from damaskjunction.core import Address, LoopTimers, Registry
from damaskjunction.node.daemon import run_host
from damaskjunction.settings import read_host_settings
from damaskjunction.standins.cut_paths import CutPaths
from damaskjunction.standins.datagrams import FaultyDatagrams
from damaskjunction.standins.engine import EngineSpeed, EngineStandin
from damaskjunction.standins.plain import PlainStandin
from damaskjunction.standins.platform import PlatformStandin
from damaskjunction.standins.proxy import ProxyStandin
from damaskjunction.telemetry import configure_logs

CRASH_EXIT_CODE = 17

StandinKind: TypeAlias = Callable[[argparse.Namespace], Coroutine[Any, Any, None]]

standin_kinds: Registry[StandinKind] = Registry("stand-in")


@standin_kinds.register("platform")
async def run_platform(arguments: argparse.Namespace) -> None:
    """Run the platform's object API, host list and weight store."""
    await PlatformStandin(arguments.address, LoopTimers()).start()
    await asyncio.Event().wait()


@standin_kinds.register("engine")
async def run_engine(arguments: argparse.Namespace) -> None:
    """Run a model engine; exit with ``CRASH_EXIT_CODE`` when a request crashes it."""
    speed = EngineSpeed(
        step_s=arguments.step_s,
        step_per_stream_s=arguments.step_per_stream_s,
        slots=arguments.slots,
        load_s_per_gb=arguments.load_s_per_gb,
    )
    engine = EngineStandin(
        arguments.address,
        LoopTimers(),
        speed=speed,
        checks_fence=not arguments.ignore_fence,
        weight_store=arguments.weight_store,
    )
    await engine.start()
    await engine.crashed.wait()
    os._exit(CRASH_EXIT_CODE)


@standin_kinds.register("plain")
async def run_plain(arguments: argparse.Namespace) -> None:
    """Run a runner of a plain service."""
    await PlainStandin(arguments.address, arguments.service).start()
    await asyncio.Event().wait()


@standin_kinds.register("proxy")
async def run_proxy(arguments: argparse.Namespace) -> None:
    """Run a fault-injecting TCP proxy."""
    proxy = ProxyStandin(arguments.address, arguments.target, arguments.control)
    await proxy.start()
    await asyncio.Event().wait()


@standin_kinds.register("host")
async def run_faulty_host(arguments: argparse.Namespace) -> None:
    """Run a host of ``damaskjunction.node`` with faults in datagrams and paths."""
    settings = read_host_settings(arguments.settings.read_text(), "settings")
    configure_logs(settings.log_level, process=settings.host_id, now=LoopTimers().now)
    paths = CutPaths()
    paths.install()
    datagrams = FaultyDatagrams(arguments.address, arguments.seed, paths)
    await run_host(settings, datagrams.open)


def main() -> None:
    """Parse the command line and run the stand-in of the given kind."""
    parser = argparse.ArgumentParser(prog="damaskjunction.standins")
    parser.add_argument("kind", choices=list(standin_kinds))
    parser.add_argument("--address", type=Address.from_text, required=True)
    parser.add_argument("--target", type=Address.from_text)
    parser.add_argument("--control", type=Address.from_text)
    parser.add_argument("--settings", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--service", default="")
    parser.add_argument("--slots", type=int, default=EngineSpeed().slots)
    parser.add_argument("--step-s", type=float, default=EngineSpeed().step_s)
    parser.add_argument(
        "--step-per-stream-s", type=float, default=EngineSpeed().step_per_stream_s
    )
    parser.add_argument(
        "--load-s-per-gb", type=float, default=EngineSpeed().load_s_per_gb
    )
    parser.add_argument("--ignore-fence", action="store_true")
    parser.add_argument("--weight-store", type=Address.from_text)
    arguments = parser.parse_args()
    try:
        asyncio.run(standin_kinds.get(arguments.kind)(arguments))
    except KeyboardInterrupt:
        sys.exit(0)


if __name__ == "__main__":
    main()
