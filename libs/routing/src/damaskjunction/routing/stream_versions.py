"""The software version at which a stream may go on, and what is known of it.

What runners of two versions write does not fit together, so a stream goes on only at
the version of the process that wrote its first event. That version is known to the host
which forwarded that event and to the peers it has told. It also follows from the
service's version record, if the record names one version alone: no version begins a
stream before the record names it, and none is dropped while its streams may live.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import RequestId, Runner, RunnerId, ServiceName
from damaskjunction.core.types import EMPTY
from damaskjunction.core.units import MILLISECOND_S

STREAM_MEMORY_S = 30.0
MAX_STREAMS_KNOWN = 20_000
CLOCK_DIFFERENCE_S = 5.0  # between the clocks of a host and a runner


class StreamOrigin(NamedTuple):
    """The process that wrote the first event of a stream ``age_s`` seconds ago.

    ``request_id`` is the request that brought that event to its caller.
    ``software_version`` and ``born_ms`` are those listed for the runner at that time.
    """

    request_id: RequestId
    service_name: ServiceName
    software_version: str
    runner_id: RunnerId
    born_ms: int
    age_s: float


class _KnownOrigin(NamedTuple):
    origin: StreamOrigin
    began_at_s: float
    recorded_at_s: float


class OriginMemory:
    """The origins of streams, for ``STREAM_MEMORY_S`` after each was last recorded.

    Parameters
    ----------
    capacity : int, optional
        Maximum number of origins.
    """

    def __init__(self, capacity: int = MAX_STREAMS_KNOWN) -> None:
        self._capacity = capacity
        self._origins_by_id: OrderedDict[RequestId, _KnownOrigin] = OrderedDict()

    def __len__(self) -> int:
        return len(self._origins_by_id)

    def record(self, origin: StreamOrigin, now_s: float) -> None:
        """Record an origin; one that is known is kept for longer."""
        origins = self._origins_by_id
        origins.pop(origin.request_id, None)
        origins[origin.request_id] = _KnownOrigin(origin, now_s - origin.age_s, now_s)
        while len(origins) > self._capacity:
            origins.popitem(last=False)

    def find(self, request_id: RequestId, now_s: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        self._forget_old(now_s)
        known = self._origins_by_id.get(request_id)
        return None if known is None else _aged(known, now_s)

    def of_service(self, service: ServiceName, now_s: float) -> list[StreamOrigin]:
        """Return the origins of a service's streams."""
        self._forget_old(now_s)
        known = self._origins_by_id.values()
        return [_aged(k, now_s) for k in known if k.origin.service_name == service]

    def _forget_old(self, now_s: float) -> None:
        origins = self._origins_by_id
        while origins:
            request_id = next(iter(origins))
            if now_s - origins[request_id].recorded_at_s <= STREAM_MEMORY_S:
                return
            del origins[request_id]


def _aged(known: _KnownOrigin, now_s: float) -> StreamOrigin:
    return known.origin._replace(age_s=now_s - known.began_at_s)


def origin_of(request_id: RequestId, runner: Runner) -> StreamOrigin:
    """Return the origin of a stream whose first event a runner has just written."""
    return StreamOrigin(
        request_id, runner.service, runner.version, runner.runner_id, runner.born_ms, 0
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


class RunnerVersions:
    """The software versions of the runners of one service.

    Parameters
    ----------
    version_by_runner : mapping, optional
        The version of each runner.
    """

    def __init__(self, version_by_runner: Mapping[RunnerId, str] = EMPTY) -> None:
        self._version_by_runner = dict(version_by_runner)

    def version_of(self, runner_id: RunnerId) -> str:
        """Return the version of a runner, empty if it is not known."""
        return self._version_by_runner.get(runner_id, "")

    def serves(self, version: str) -> bool:
        """Return whether a runner may serve a version; any serves the empty one."""
        return not version or version in self._version_by_runner.values()

    def others(self, version: str) -> tuple[RunnerId, ...]:
        """Return the runners of other versions; none of the empty version."""
        if not version:
            return ()
        versions = self._version_by_runner.items()
        return tuple(name for name, listed in versions if listed != version)


def runners_at(runners: Iterable[Runner], version: str) -> list[Runner]:
    """Return the runners of a version, all of them for the empty one."""
    return [r for r in runners if not version or r.version == version]


def listed_versions(
    runners: Iterable[Runner], services: Collection[ServiceName]
) -> dict[ServiceName, frozenset[str]]:
    """Return the versions that are listed for each of the services."""
    found: dict[ServiceName, set[str]] = {name: set() for name in services}
    for runner in runners:
        if runner.service in found:
            found[runner.service].add(runner.version)
    return {name: frozenset(versions) for name, versions in found.items()}
