"""Which failed requests count against a runner's health."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable

from damaskjunction.core import Runner
from damaskjunction.node import TaskSet
from damaskjunction.relay import PathDiagnosis
from damaskjunction.routing import RunnerVerdict

logger = logging.getLogger(__name__)

# What a runner is accused of for lack of bytes from it; its path may have failed.
PATH_REASONS = (
    "no_connection",
    "silent",
    "no_answer",
    "stream_cut",
    "answer_cut",
    "no_end",
    "process_unknown",
    "no_report",
)


class RunnerFaults:
    """Accuses runners of failures, unless the path from this host has failed.

    Parameters
    ----------
    diagnosis : PathDiagnosis
        Tells a runner that failed from a path that did.
    """

    def __init__(self, diagnosis: PathDiagnosis) -> None:
        self._diagnosis = diagnosis
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Do nothing; failures are judged as they come."""

    async def close(self) -> None:
        """Cancel the judgements under way."""
        await self._tasks.close()
        await self._diagnosis.close()

    def record(
        self,
        runner: Runner,
        reason: str,
        accuse: Callable[[], None],
        on_path_cut: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Call ``accuse`` if a failure for a reason is the runner's.

        One that may be the path's is diagnosed first; ``on_path_cut`` is called if it
        proves to be.
        """
        if reason in PATH_REASONS:
            self._tasks.begin(self._judge(runner, reason, accuse, on_path_cut))
        else:
            accuse()

    async def _judge(
        self,
        runner: Runner,
        reason: str,
        accuse: Callable[[], None],
        on_path_cut: Callable[[], Awaitable[None]] | None,
    ) -> None:
        verdict = await self._diagnosis.diagnose(runner.address)
        if self._diagnosis.may_accuse(verdict):
            accuse()
            return
        if on_path_cut is not None and verdict is RunnerVerdict.PATH_CUT:
            await on_path_cut()
        extra = {
            "runner": runner.runner_id,
            "reason": reason,
            "verdict": verdict.value,
        }
        logger.info("runner not accused", extra=extra)
