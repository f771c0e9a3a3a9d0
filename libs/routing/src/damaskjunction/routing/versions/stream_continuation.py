"""The decision on which runner may write the next events of a stream, if any.

What runners of two versions write does not fit together, so a stream goes on only at
the version of the process that wrote its first event; it is never guessed. The decision
is the same for attempts in one answer, for callers that take a stream up, and for batch
items, which begin afresh where they may not go on.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.core import RequestId, Runner, ServiceName
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.routing.versions.stream_versions import StreamOrigin, runners_at

CLOCK_DIFFERENCE_S = 5.0  # between the clocks of a host and a runner


class Denial(StrEnum):
    """Why a stream may not go on, or not at a runner."""

    VERSION_UNKNOWN = "version_unknown"
    VERSION_GONE = "version_gone"
    VERSION_BUSY = "version_busy"
    OTHER_VERSION = "other_version"
    UNANNOUNCED = "version_unannounced"
    SERVICE_CHANGED = "service_changed"


class StreamWriter(NamedTuple):
    """The process that wrote one answer's events, the first of them ``age_s`` ago.

    ``entries`` are those that its runner has had since then, as far as they are known;
    none once it has left.
    """

    origin: StreamOrigin
    entries: Sequence[Runner] = ()


class StreamFacts(NamedTuple):
    """What a host knows of a stream; ``writers`` is empty before the first event.

    ``wall_s`` is the present Unix time in seconds, not an earlier one.
    """

    writers: Sequence[StreamWriter]
    wall_s: float


class ItemWait(NamedTuple):
    """Whether an item has waited for its version to the end, and was denied there."""

    is_over: bool
    is_denied: bool


def origin_of(
    request_id: RequestId, runner: Runner, *, is_proved: bool = False
) -> StreamOrigin:
    """Return the origin of a stream whose first event a runner has just written.

    ``is_proved`` says that its process has told that it is the one listed; a process
    without a start proves nothing.
    """
    return StreamOrigin(
        request_id,
        runner.service,
        runner.version,
        runner.runner_id,
        runner.born_ms,
        0.0,
        is_proved and runner.born_ms > 0,
    )


def proven_version(
    origin: StreamOrigin, entries: Iterable[Runner], wall_s: float
) -> str | None:
    """Return the version that began a stream, None if it is not proved.

    The entry of a runner that started again comes late: another process, which may be
    older than the first event, has written it if one of ``entries`` shows another
    version.

    Parameters
    ----------
    origin : StreamOrigin
        The origin as it was recorded.
    entries : iterable of Runner
        The entries that the same runner has had since the first event, as far as they
        are known; none once it has left.
    wall_s : float
        The present Unix time, in seconds; not an earlier one.
    """
    if not origin.software_version:
        return None
    if origin.is_proved:
        return origin.software_version
    began_at_s = wall_s - origin.age_s
    if all(_is_no_contradiction(origin, entry, began_at_s) for entry in entries):
        return origin.software_version
    return None


def _is_no_contradiction(
    origin: StreamOrigin, entry: Runner, began_at_s: float
) -> bool:
    """Return whether an entry leaves the origin proved.

    It does if it has the same version or is of a process younger than the stream.
    """
    if entry.version == origin.software_version:
        return True
    is_known = entry.born_ms > 0 and entry.born_ms != origin.born_ms
    return is_known and entry.born_ms * MILLISECOND_S > began_at_s + CLOCK_DIFFERENCE_S


def required_version(facts: StreamFacts) -> str | None:
    """Return the version that a stream has to keep, None if it is not proved.

    Any may begin a stream; then it is empty.
    """
    if not facts.writers:
        return ""
    origin, entries = facts.writers[0]
    return proven_version(origin, entries, facts.wall_s)


def are_writers_proved(facts: StreamFacts) -> bool:
    """Return whether the version of each writer is proved; a sole one needs no proof.

    Each was chosen at the version of those before it, but entries may have come since.
    """
    return len(facts.writers) < 2 or all(
        proven_version(origin, entries, facts.wall_s) is not None
        for origin, entries in facts.writers
    )


def runner_denial(
    facts: StreamFacts, runner: Runner, *, is_announced: bool = True
) -> Denial | None:
    """Return why a runner may not write a stream's next events, None if it may.

    Parameters
    ----------
    facts : StreamFacts
        What is known of the stream.
    runner : Runner
        The entry of the runner.
    is_announced : bool, optional
        Whether the record names its version, or the stream needs no record.
    """
    version = required_version(facts)
    if version is None:
        return Denial.VERSION_UNKNOWN
    if not version:
        return None if is_announced else Denial.UNANNOUNCED
    return None if runner.version == version else Denial.OTHER_VERSION


def take_up_denial(
    origin: StreamOrigin | None,
    services: Collection[ServiceName],
    runners: Iterable[Runner],
) -> Denial | None:
    """Return why a stream that a caller takes up does not go on, None if it does.

    Parameters
    ----------
    origin : StreamOrigin or None
        The origin of the stream, None if no host knows it.
    services : collection of str
        The services of the route.
    runners : iterable of Runner
        The runners of the origin's service that accept new work.
    """
    if origin is None or origin.service_name not in services:
        return Denial.VERSION_UNKNOWN
    if not runners_at(runners, origin.software_version):
        return Denial.VERSION_GONE
    return None


def item_denial(
    facts: StreamFacts, service: ServiceName, runners: Sequence[Runner], wait: ItemWait
) -> Denial | None:
    """Return why a batch item begins afresh, None if it goes on.

    It does when its version is not proved or not served, when that is one of another
    service, and when its runners have not gone on with it for long enough while others
    serve, or may not go on with it.

    Parameters
    ----------
    facts : StreamFacts
        What is known of the item's events.
    service : str
        The service that is to go on with the item.
    runners : sequence of Runner
        The runners of that service that accept new work.
    wait : ItemWait
        How the item has waited for its version.
    """
    version = required_version(facts)
    if version is None or not are_writers_proved(facts):
        return Denial.VERSION_UNKNOWN
    if not version:
        return None
    runners_of_version = runners_at(runners, version)
    if facts.writers[0].origin.service_name != service:
        return Denial.SERVICE_CHANGED
    if not runners_of_version:
        return Denial.VERSION_GONE
    is_only_version = len(runners_of_version) == len(runners)
    if wait.is_over and (wait.is_denied or not is_only_version):
        return Denial.VERSION_BUSY
    return None
