"""The search for a runner that can take a request over from one that is silent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from damaskjunction.core import Outcome, RequestError, Runner, RunnerId, Timers
from damaskjunction.gateway.requests.runner_selector import (
    Assignment,
    RoutedRequest,
    RunnerSelector,
)
from damaskjunction.gateway.runners.runner_client import RunnerClient
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError
from damaskjunction.gateway.versions.stream_version import StreamVersion
from damaskjunction.routing import CAPACITY_REASONS, NO_RUNNER_LEFT

logger = logging.getLogger(__name__)

MIN_PAUSE_S = 0.1  # after an ask that was refused
MAX_PAUSE_S = 0.5
# A runner that is ready at once was not silent together with the first one.
READY_AT_ONCE_S = 0.1
RETURN_TIME_S = 0.2  # in which the first one may send its next part


class StandbySearch:
    """Finds runners that are ready for a request that another one still has.

    Parameters
    ----------
    runner_client : RunnerClient
        Connects to the runners.
    selector : RunnerSelector
        Selects the runners.
    routed : RoutedRequest
        The request.
    version : StreamVersion
        Tells the version that the runners have to be of.
    check : callable
        Raises an error for a runner that must not have the request.
    timers : Timers
        The process's timer service.
    is_process_checked : bool
        Whether only the process may have it that the runner's entry lists.
    """

    def __init__(
        self,
        runner_client: RunnerClient,
        selector: RunnerSelector,
        routed: RoutedRequest,
        version: StreamVersion,
        check: Callable[[Runner], None],
        *,
        timers: Timers,
        is_process_checked: bool,
    ) -> None:
        self._timers = timers
        self._runner_client = runner_client
        self._selector = selector
        self._routed = routed
        self._version = version
        self._check = check
        self._is_process_checked = is_process_checked
        self._standby_number = 0

    async def find(self, silent: RunnerId, failed: Collection[RunnerId]) -> Assignment:
        """Hold another runner than the silent one that is ready, and return it.

        Asks again as long as there is none. Runners that failed the request before, or
        prove not to be ready, are left out until all others are. If runners were silent
        together, the first one has time to be heard before another one is returned.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no other runner may have the request.
        """
        avoided, n_unready = set(failed), 0
        while True:
            try:
                return await self._hold_ready(silent, avoided, n_unready > 0)
            except RunnerFailedError as error:
                avoided.add(error.runner_id)
                n_unready += 1
                self._log("runner not ready", error.reason, error.runner_id)
            except RequestError as error:
                self._log("no other runner free", error.reason)
                if error.reason not in CAPACITY_REASONS:
                    raise
                avoided.clear()
                await pause_after(error)

    async def _hold_ready(
        self, silent: RunnerId, avoided: Collection[RunnerId], others_were_silent: bool
    ) -> Assignment:
        """Hold the next runner, if it is ready.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no runner is free in time.
        RunnerFailedError
            ``NOT_RUN``, with the runner's id, when it is not ready.
        """
        self._standby_number += 1
        assignment = await self._selector.assign(
            self._routed,
            {silent, *avoided},
            self._version.required,
            is_repeated=True,
            standby_number=self._standby_number,
        )
        runner = assignment.runner
        try:
            if runner.runner_id == silent:  # the home may grant it after a long wait
                raise RequestError(Outcome.NOT_RUN, NO_RUNNER_LEFT)
            self._check(runner)
            began_at_s = self._timers.now()
            await self._runner_client.prepare(
                runner, is_process_checked=self._is_process_checked
            )
            took_s = self._timers.now() - began_at_s
            if others_were_silent or took_s > READY_AT_ONCE_S:
                await asyncio.sleep(RETURN_TIME_S)
        except RunnerFailedError as error:
            await self._selector.release(assignment)
            raise RunnerFailedError(
                error.outcome, error.reason, error.detail, runner_id=runner.runner_id
            ) from None
        except BaseException:
            await self._selector.release(assignment)
            raise
        return assignment

    def _log(self, event: str, reason: str, runner_id: RunnerId = "") -> None:
        request_id = self._routed.request.request_id
        extra = {"request": request_id, "reason": reason, "runner": runner_id}
        logger.info(f"request {event}", extra=extra)


async def pause_after(refusal: RequestError) -> None:
    """Wait until it makes sense to ask again after a refusal for want of capacity."""
    await asyncio.sleep(min(max(refusal.retry_after_s, MIN_PAUSE_S), MAX_PAUSE_S))
