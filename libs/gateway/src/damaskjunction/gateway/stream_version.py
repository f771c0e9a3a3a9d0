"""The software version that one stream has to keep over all its attempts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from damaskjunction.core import (
    Outcome,
    RequestError,
    RequestId,
    Runner,
    ServiceName,
    Timers,
)
from damaskjunction.gateway.runner_client import RunnerClient, RunnerFailedError
from damaskjunction.gateway.state import ServingState
from damaskjunction.routing import StreamOrigin, origin_of, proven_version

logger = logging.getLogger(__name__)

VERSION_RETRY_AFTER_S = 0.15
WRITER_TIMEOUT_S = 0.2
# Why a runner may not go on with a stream.
ADMISSION_REASONS = ("other_version", "other_process", "process_unknown", "no_report")


class _Writer(NamedTuple):
    """The process that wrote one answer's events, the first of them at ``began_at_s``.

    The age in ``origin`` is that of the time at which it was recorded.
    """

    origin: StreamOrigin
    began_at_s: float


class StreamVersion:
    """The version of a stream, from its first event on.

    Parameters
    ----------
    request_id : str
        The id of the request that brings the stream's first event.
    state : ServingState
        The known runners.
    timers : Timers
        The process's timer service.
    origin : StreamOrigin, optional
        The origin of a stream that began before.
    on_begin : callable, optional
        Receives the origin when the first event arrives.
    """

    def __init__(
        self,
        request_id: RequestId,
        state: ServingState,
        timers: Timers,
        origin: StreamOrigin | None = None,
        on_begin: Callable[[StreamOrigin], None] | None = None,
    ) -> None:
        self._request_id = request_id
        self._state = state
        self._timers = timers
        self._writers: list[_Writer] = []
        if origin is not None:
            self._writers.append(_Writer(origin, timers.now() - origin.age_s))
        self._on_begin = on_begin

    @property
    def service_name(self) -> ServiceName:
        """The service whose runner began the stream; empty before the first event."""
        return self._writers[0].origin.service_name if self._writers else ""

    @property
    def required(self) -> str:
        """The version of the runner that may go on; empty before the first event.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the version of the stream is not proved.
        """
        return self._prove(self._writers[0]) if self._writers else ""

    def _prove(self, writer: _Writer, *unlisted: Runner) -> str:
        """Return a writer's version, unless its entries or others deny it."""
        age_s = self._timers.now() - writer.began_at_s
        origin = writer.origin._replace(age_s=age_s)
        entries = self._state.entries_since(origin.runner_id, writer.began_at_s)
        wall_s = self._state.latest_wall_s()
        version = proven_version(origin, [*entries, *unlisted], wall_s)
        if version is None:
            raise RequestError(
                Outcome.NOT_RUN,
                "version_unknown",
                retry_after_s=VERSION_RETRY_AFTER_S,
            )
        return version

    def check_joined(self) -> None:
        """Check that the events of several answers are of one version.

        The entry of a runner that has started again may have come since.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when that is not proved.
        """
        if len(self._writers) > 1:
            for writer in self._writers:
                self._prove(writer)

    def check(self, runner: Runner) -> None:
        """Check that a runner may go on with the stream.

        Raises
        ------
        RunnerFailedError
            ``NOT_RUN`` when its version is another one.
        """
        required = self.required
        if required and runner.version != required:
            detail = f"{runner.version!r} instead of {required!r}"
            raise RunnerFailedError(Outcome.NOT_RUN, "other_version", detail)

    async def admit(self, runner: Runner, client: RunnerClient) -> None:
        """Check that a runner may go on, and that its entry is that of its process.

        Runners of plain services tell nothing of their processes.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the version of the stream is not proved.
        RunnerFailedError
            ``NOT_RUN`` when the runner or its process has, or may have, another one.
        """
        self.check(runner)
        spec = self._state.table.services_by_name.get(runner.service)
        if not self._writers or spec is None or spec.engine is None:
            return
        writers_by_runner = {w.origin.runner_id: w for w in reversed(self._writers)}
        writers_by_runner.pop(runner.runner_id, None)
        confirmations = await asyncio.gather(
            client.confirm_process(runner),
            *(self._confirm_writer(w, client) for w in writers_by_runner.values()),
            return_exceptions=True,
        )
        for error in confirmations:
            if error is not None:
                raise error
        self.check(runner)

    async def _confirm_writer(self, writer: _Writer, client: RunnerClient) -> None:
        """Check that no process that is not listed yet may have written events.

        One that has ended can't be asked: then the entries alone count.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when one may have written them.
        """
        runner_id = writer.origin.runner_id
        listed = self._state.view.fleet.runners_by_id.get(runner_id)
        if listed is None:
            return
        try:
            async with asyncio.timeout(WRITER_TIMEOUT_S):
                report = await client.fetch_report(listed)
        except (RunnerFailedError, TimeoutError) as error:
            extra = {"runner": runner_id, "error": repr(error)}
            logger.info("stream's runner does not tell its process", extra=extra)
            return
        if report.born_ms not in (0, listed.born_ms):
            unlisted = listed._replace(version="", born_ms=report.born_ms)
            self._prove(writer, unlisted)

    def record_answer(self, runner: Runner) -> None:
        """Record that the first event of an answer has arrived from a runner."""
        origin = origin_of(self._request_id, runner)
        self._writers.append(_Writer(origin, self._timers.now()))
        if len(self._writers) == 1 and self._on_begin is not None:
            self._on_begin(origin)

    def forget(self) -> None:
        """Begin the stream afresh."""
        self._writers.clear()
