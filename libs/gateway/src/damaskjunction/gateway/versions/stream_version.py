"""The writers of one stream over all its attempts, whose version it has to keep."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from damaskjunction.core import (
    Outcome,
    RequestError,
    RequestId,
    Runner,
    ServiceName,
    Timers,
)
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
)
from damaskjunction.gateway.state import ServingState
from damaskjunction.routing import (
    Denial,
    ItemWait,
    StreamFacts,
    StreamOrigin,
    StreamWriter,
    are_writers_proved,
    item_denial,
    origin_of,
    required_version,
    runner_denial,
)

VERSION_RETRY_AFTER_S = 0.15
# Why a runner may not go on with a stream.
ADMISSION_REASONS = (Denial.OTHER_VERSION.value, "other_process", "process_unknown")


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
    def required(self) -> str:
        """The version of the runner that may go on; empty before the first event.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the version of the stream is not proved.
        """
        version = required_version(self._facts())
        if version is None:
            raise _unknown_version()
        return version

    def check_joined(self) -> None:
        """Check that the events of several answers are of one version.

        The entry of a runner that has started again may have come since.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when that is not proved.
        """
        if not are_writers_proved(self._facts()):
            raise _unknown_version()

    def check(self, runner: Runner, *, is_announced: bool = True) -> None:
        """Check that a runner may begin the stream, or go on with it.

        Parameters
        ----------
        runner : Runner
            The entry of the runner.
        is_announced : bool, optional
            Whether the record names its version, or the stream needs no record.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the version of the stream is not proved.
        RunnerFailedError
            ``NOT_RUN`` when the runner's version is not the one that may.
        """
        denial = runner_denial(self._facts(), runner, is_announced=is_announced)
        if denial is Denial.VERSION_UNKNOWN:
            raise _unknown_version()
        if denial is not None:
            raise RunnerFailedError(
                Outcome.NOT_RUN, denial.value, f"listed at {runner.version!r}"
            )

    def item_denial(
        self, service: ServiceName, runners: Sequence[Runner], wait: ItemWait
    ) -> Denial | None:
        """Return why a batch item has to begin afresh, None if it goes on."""
        return item_denial(self._facts(), service, runners, wait)

    def _facts(self) -> StreamFacts:
        return StreamFacts(
            [self._known(writer) for writer in self._writers],
            self._state.latest_wall_s(),
        )

    def _known(self, writer: _Writer) -> StreamWriter:
        origin, began_at_s = writer
        age_s = self._timers.now() - began_at_s
        entries = self._state.entries_since(origin.runner_id, began_at_s)
        return StreamWriter(origin._replace(age_s=age_s), entries)

    def record_answer(self, runner: Runner, *, is_proved: bool = False) -> None:
        """Record that the first event of an answer has arrived from a runner.

        ``is_proved`` says that its process has told that it is the one listed.
        """
        origin = origin_of(self._request_id, runner, is_proved=is_proved)
        self._writers.append(_Writer(origin, self._timers.now()))
        if len(self._writers) == 1 and self._on_begin is not None:
            self._on_begin(origin)

    def forget(self) -> None:
        """Begin the stream afresh."""
        self._writers.clear()


def _unknown_version() -> RequestError:
    return RequestError(
        Outcome.NOT_RUN,
        Denial.VERSION_UNKNOWN.value,
        retry_after_s=VERSION_RETRY_AFTER_S,
    )
