"""Messages between the host that a caller chose and the home of a runner."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import (
    RequestId,
    RunnerId,
    ServiceName,
    WorkClass,
    WorkspaceName,
)


class Forward(NamedTuple):
    """Asks the home of a runner to admit a request to it.

    ``deadline_s`` is what is left of the request's time in seconds; ``from_token`` is
    the index of the first token wanted, above 0 when a broken answer is resumed.
    ``fingerprint`` is what equal requests have in common; one that is ``alone`` must
    not share its runner while it runs.
    """

    request_id: RequestId
    attempt: int
    runner_id: RunnerId
    service_name: ServiceName
    workspace: WorkspaceName
    work_class: WorkClass
    deadline_s: float
    idempotent: bool
    path: str
    content_type: str
    body: bytes
    from_token: int = 0
    fingerprint: str = ""
    alone: bool = False


class Token(NamedTuple):
    """A token of an engine's answer."""

    attempt: int
    position: int
    text: str


class StreamEnd(NamedTuple):
    """The end mark of an engine's answer."""

    attempt: int
    n_tokens: int


class PlainAnswer(NamedTuple):
    """The whole answer of a plain service."""

    attempt: int
    status: int
    content_type: str
    body: bytes


class RunnerLoad(NamedTuple):
    """What the home of a runner has there, told with each answer.

    ``n_online`` and ``n_batch`` count requests under way and waiting; ``capacity`` is
    how many may be under way together.
    """

    runner_id: RunnerId
    capacity: int
    n_online: int
    n_batch: int
