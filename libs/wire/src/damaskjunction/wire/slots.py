"""Messages between the host that a caller uses and the home of a service's slots."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import (
    DataCentre,
    RequestId,
    RunnerId,
    ServiceName,
    WorkClass,
    WorkspaceName,
)
from damaskjunction.routing import (
    CrashReport,
    LeavingNotice,
    RequestTraits,
    RunnerLimit,
)
from damaskjunction.wire.codec import register_message

register_message(RunnerLimit)
register_message(LeavingNotice)


@register_message
class SlotAsk(NamedTuple):
    """Asks for a slot on a runner of a service; the slot is held until the call ends.

    ``parts`` are the ids of the prompt's shared parts, for prefix-cache affinity, and
    ``avoid`` the excluded runners. ``held_runner`` names the runner of a slot that a
    former home granted and is empty otherwise. Times are in seconds from now: the
    request must start within ``start_within_s``, and within ``goal_in_s`` to meet the
    service's latency goal; batch requests are served by earliest ``due_in_s``.
    ``is_repeated`` means that an earlier attempt of the caller was refused or failed.
    ``fingerprint`` is equal for equal requests. ``limits`` are the rate limits that
    runners of the service have named to the asking host, and ``leaving`` tells which
    of them it knows to leave. Only runners of ``software_version`` may be given the
    request, unless that is empty. ``workspace`` is that of the caller, and
    ``data_centre`` that of the asking host; both are empty if unknown.
    ``is_only_attempt`` says that no other runner may have the request once one has
    begun it.
    """

    request_id: RequestId
    service_name: ServiceName
    work_class: WorkClass
    parts: tuple[str, ...]
    avoid: tuple[RunnerId, ...]
    start_within_s: float
    due_in_s: float
    held_runner: RunnerId = ""
    goal_in_s: float = 0.0
    is_repeated: bool = False
    fingerprint: str = ""
    limits: tuple[RunnerLimit, ...] = ()
    software_version: str = ""
    leaving: tuple[LeavingNotice, ...] = ()
    workspace: WorkspaceName = ""
    data_centre: DataCentre = ""
    is_only_attempt: bool = False

    @property
    def traits(self) -> tuple[str, ...]:
        """The traits by which requests that crash runners are known."""
        return (*self.parts, self.fingerprint) if self.fingerprint else self.parts


@register_message
class SlotGranted(NamedTuple):
    """The slot is granted: the request may be sent to the runner.

    ``watched`` are the request's traits whose answer is to be reported, since a crash
    accuses them. ``is_limited`` says that the home knows a rate limit of the runner.
    """

    runner_id: RunnerId
    watched: tuple[str, ...] = ()
    is_limited: bool = False


@register_message
class SlotQueued(NamedTuple):
    """The request is queued for a slot."""


@register_message
class SlotRevoked(NamedTuple):
    """The slot is revoked and has to be released."""


@register_message
class RunnerSeen(NamedTuple):
    """Reports to the home of a service how a runner responded."""

    service_name: ServiceName
    runner_id: RunnerId
    is_well: bool


register_message(RequestTraits)
register_message(CrashReport)


@register_message
class TraitsAnswered(NamedTuple):
    """Reports that a runner answered a request with traits that a crash accuses.

    It did so ``age_s`` seconds ago.
    """

    service_name: ServiceName
    traits: tuple[str, ...]
    age_s: float


@register_message
class Noted(NamedTuple):
    """Acknowledges a report."""
