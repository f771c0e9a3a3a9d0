"""The software version that one stream has to keep over all its attempts."""

from __future__ import annotations

from collections.abc import Callable

from damaskjunction.core import Outcome, RequestError, RequestId, Runner, Timers
from damaskjunction.gateway.runner_client import RunnerFailedError
from damaskjunction.gateway.state import ServingState
from damaskjunction.routing import StreamOrigin, origin_of, proven_version

VERSION_RETRY_AFTER_S = 0.15


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
        self._origin = origin
        self._began_at_s = timers.now() - (origin.age_s if origin is not None else 0.0)
        self._on_begin = on_begin

    @property
    def required(self) -> str:
        """The version of the runner that may go on; empty before the first event.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the version of the stream is not proved.
        """
        if self._origin is None:
            return ""
        origin = self._origin._replace(age_s=self._timers.now() - self._began_at_s)
        listed = self._state.view.fleet.runners_by_id.get(origin.runner_id)
        version = proven_version(origin, listed, self._timers.wall())
        if version is None:
            raise RequestError(
                Outcome.NOT_RUN,
                "version_unknown",
                retry_after_s=VERSION_RETRY_AFTER_S,
            )
        return version

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

    def record_event(self, runner: Runner) -> None:
        """Record that an event of a runner has arrived; the first is the origin."""
        if self._origin is None:
            self._origin = origin_of(self._request_id, runner)
            self._began_at_s = self._timers.now()
            if self._on_begin is not None:
                self._on_begin(self._origin)

    def forget(self) -> None:
        """Begin the stream afresh."""
        self._origin = None
