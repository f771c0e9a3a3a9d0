"""The software version that one stream has to keep over all its attempts."""

from __future__ import annotations

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
from damaskjunction.gateway.runner_client import RunnerFailedError
from damaskjunction.gateway.state import ServingState
from damaskjunction.routing import StreamOrigin, origin_of, proven_version

VERSION_RETRY_AFTER_S = 0.15
# Why a runner may not go on with a stream.
ADMISSION_REASONS = ("other_version", "other_process", "process_unknown")


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
    def has_begun(self) -> bool:
        """Whether a first event has come."""
        return bool(self._writers)

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

    def _prove(self, writer: _Writer) -> str:
        """Return a writer's version, unless its entries deny it."""
        age_s = self._timers.now() - writer.began_at_s
        origin = writer.origin._replace(age_s=age_s)
        entries = self._state.entries_since(origin.runner_id, writer.began_at_s)
        wall_s = self._state.latest_wall_s()
        version = proven_version(origin, entries, wall_s)
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

    def record_answer(self, runner: Runner) -> None:
        """Record that the first event of an answer has arrived from a runner."""
        origin = origin_of(self._request_id, runner)
        self._writers.append(_Writer(origin, self._timers.now()))
        if len(self._writers) == 1 and self._on_begin is not None:
            self._on_begin(origin)

    def forget(self) -> None:
        """Begin the stream afresh."""
        self._writers.clear()
