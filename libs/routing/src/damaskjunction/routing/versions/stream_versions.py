"""What is known of the software versions of streams and of runners.

The version that began a stream is known to the host which forwarded the first event and
to the peers it has told. It also follows from the service's version record, if the
record names one version alone: no version begins a stream before the record names it,
and none is dropped while its streams may live.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import RequestId, Runner, RunnerId, ServiceName
from damaskjunction.core.types import EMPTY

STREAM_MEMORY_S = 30.0
MAX_STREAMS_KNOWN = 20_000


class StreamOrigin(NamedTuple):
    """The process that wrote the first event of a stream ``age_s`` seconds ago.

    ``request_id`` is the request that brought that event to its caller.
    ``software_version`` and ``born_ms`` are those listed for the runner at that time.
    ``is_proved`` says that the process itself has told its start.
    """

    request_id: RequestId
    service_name: ServiceName
    software_version: str
    runner_id: RunnerId
    born_ms: int
    age_s: float
    is_proved: bool = False


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
