"""Rolling upgrade of the hosts of a soak, forth and back, and the check on it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator, Sequence

from damaskjunction.core import HostId
from damaskjunction.lab.soak.builds import Build
from damaskjunction.lab.soak.checks import (
    MIN_CHECKED_CALLS,
    MIN_SERVED_FRACTION,
    checks,
)
from damaskjunction.lab.soak.cut_checks import Tries, first_tries_in
from damaskjunction.lab.soak.history import FaultSpan, History, MixedBuilds
from damaskjunction.lab.soak.owed import Span
from damaskjunction.lab.soak.rig import SoakRig

READY_TIMEOUT_S = 5.0  # a fault may keep a host from becoming ready
PAUSE_S = 8.0  # with both builds side by side; long enough to catch up and be judged
POLL_INTERVAL_S = 0.1


async def roll_forth_and_back(rig: SoakRig) -> None:
    """Replace the former build by the present one, host by host, and go back."""
    half = len(rig.host_names) // 2
    first, second = rig.host_names[:half], rig.host_names[half:]
    await _roll(rig, first, Build.PRESENT)
    await _serve_together(rig)
    await _roll(rig, second, Build.PRESENT)
    await _roll(rig, first, Build.FORMER)
    await _serve_together(rig)
    await _roll(rig, second, Build.FORMER)


async def _serve_together(rig: SoakRig) -> None:
    since_s = rig.timers.now()
    await asyncio.sleep(PAUSE_S)
    rig.history.mixed_builds.append(MixedBuilds(since_s, rig.timers.now()))


@checks.register("builds serve together")
def check_mixed_builds(history: History) -> Iterator[str]:
    """Find times in which hosts of two builds, in calm, served too few callers."""
    for mixed in history.mixed_builds:
        calls = first_tries_in(history, Span(mixed.since_s, mixed.until_s))
        tries = Tries(calls)
        if len(calls) >= MIN_CHECKED_CALLS and tries.rate < MIN_SERVED_FRACTION:
            yield f"{mixed.since_s:.1f} to {mixed.until_s:.1f} s: {tries}"


async def _roll(rig: SoakRig, names: Sequence[HostId], build: Build) -> None:
    since_s = rig.timers.now()
    for name in names:
        async with rig.locks[name]:
            await rig.stop_host(name, signal.SIGTERM)
            rig.build_by_host[name] = build
            await rig.start_host(name)
        await _wait_until_ready(rig, name)
    span = FaultSpan(f"rolled to the {build} build", since_s, rig.timers.now())
    rig.history.fault_spans.append(span)


async def _wait_until_ready(rig: SoakRig, name: HostId) -> None:
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await rig.is_ready(name):  # noqa: ASYNC110 - asks the host
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        return  # a roll goes on; the checks judge what callers saw
