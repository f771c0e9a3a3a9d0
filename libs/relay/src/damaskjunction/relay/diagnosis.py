"""The diagnosis of a runner that failed, from two vantage points."""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple

from damaskjunction.core import Address, Timers
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.relay.direct import DirectPath
from damaskjunction.relay.relays import Relays
from damaskjunction.routing import (
    DIRECT_HEAD_START_S,
    MAX_WITNESSES,
    Reach,
    RunnerPaths,
    RunnerVerdict,
    judge_runner,
)

logger = logging.getLogger(__name__)

PROBE_PAUSE_S = 30 * MILLISECOND_S
PROBE_TIMEOUT_S = 0.3
N_WITNESSES = 2  # asked at first
REPEAT_S = 0.5  # for which the verdict on a runner that was not reached holds


class _Failed(NamedTuple):
    """A verdict on a runner that this host did not reach."""

    verdict: RunnerVerdict
    at_s: float


class PathDiagnosis:
    """Finds out whether a runner has failed, or this host's path to it.

    A runner has failed only if other hosts don't reach it either.

    Parameters
    ----------
    paths : RunnerPaths
        Records what is found out about the direct path.
    direct_path : DirectPath
        The path from this host.
    relays : Relays
        The other hosts.
    timers : Timers
        The process's timer service.
    """

    def __init__(
        self,
        paths: RunnerPaths,
        direct_path: DirectPath,
        relays: Relays,
        timers: Timers,
    ) -> None:
        self._paths = paths
        self._direct_path = direct_path
        self._relays = relays
        self._timers = timers
        self._diagnoses_by_address: dict[Address, asyncio.Task[RunnerVerdict]] = {}
        self._failed_by_address: dict[Address, _Failed] = {}

    async def close(self) -> None:
        """Cancel the diagnoses under way."""
        tasks = list(self._diagnoses_by_address.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def has_ended(self, address: Address) -> bool:
        """Return whether the process of a runner has ended."""
        return await self.diagnose(address) is RunnerVerdict.ENDED

    async def may_have_ended(self, address: Address) -> bool:
        """Return whether nobody is known to reach a runner from now on.

        What was seen of it before proves nothing: it may have ended since.
        """
        earlier = self._diagnoses_by_address.get(address)
        if earlier is not None:
            await asyncio.wait((earlier,))
        reached = (RunnerVerdict.LIVES, RunnerVerdict.PATH_CUT)
        return await self._begin_or_join(address) not in reached

    def may_accuse(self, verdict: RunnerVerdict) -> bool:
        """Return whether a failed request counts against a runner's health.

        One that lives is not accused while a path of this host is cut, or was lately:
        the request may have failed with the path.
        """
        if verdict is RunnerVerdict.LIVES:
            return not self._paths.is_troubled(self._timers.now())
        return verdict.may_accuse

    async def diagnose(self, address: Address) -> RunnerVerdict:
        """Return the state of the runner at an address; callers share one diagnosis."""
        now_s = self._timers.now()
        failed = self._failed_by_address.get(address)
        if failed is not None and now_s - failed.at_s < REPEAT_S:
            return failed.verdict
        return await self._begin_or_join(address)

    async def _begin_or_join(self, address: Address) -> RunnerVerdict:
        task = self._diagnoses_by_address.get(address)
        if task is None:
            task = asyncio.ensure_future(self._diagnose(address))
            self._diagnoses_by_address[address] = task
            task.add_done_callback(lambda _: self._diagnoses_by_address.pop(address))
        return await asyncio.shield(task)

    async def _diagnose(self, address: Address) -> RunnerVerdict:
        direct = asyncio.ensure_future(self._probe(address))
        try:
            await asyncio.wait((direct,), timeout=DIRECT_HEAD_START_S)
            others: list[Reach] = []
            if not direct.done() or direct.result() is not Reach.CONNECTED:
                others = await self._relays.witness(address, N_WITNESSES)
            reach = await direct
        finally:
            direct.cancel()
        needs_more = self._relays.n_others > N_WITNESSES
        if needs_more and not {reach, *others} & {Reach.CONNECTED}:
            others = await self._relays.witness(address, MAX_WITNESSES)
        verdict = judge_runner(reach, others, self._relays.n_others)
        if verdict is RunnerVerdict.LIVES:
            now_s = self._timers.now()
            self._paths.record_direct(address, now_s, is_proved=True)
            self._failed_by_address.pop(address, None)
        else:
            self._failed_by_address[address] = _Failed(verdict, self._timers.now())
        if verdict is RunnerVerdict.PATH_CUT:
            self._paths.record_cut(address, self._timers.now())
        extra = {
            "runner": str(address),
            "verdict": verdict.value,
            "direct": reach.value,
            "others": [other.value for other in others],
        }
        logger.info("runner diagnosed", extra=extra)
        return verdict

    async def _probe(self, address: Address) -> Reach:
        """Return what comes of connecting to a runner.

        Unless that takes its time or is refused, it is probed once more: a process may
        still accept connections for a moment while it crashes.
        """
        began_at_s = self._timers.now()
        reach = await self._direct_path.probe(address, PROBE_TIMEOUT_S)
        took_s = self._timers.now() - began_at_s
        if reach is Reach.REFUSED or took_s >= PROBE_TIMEOUT_S:
            return reach
        await asyncio.sleep(PROBE_PAUSE_S)
        return await self._direct_path.probe(address, PROBE_TIMEOUT_S)
