"""Messages between a request's entry host and the home of a runner."""

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
    """Asks the home of a runner to admit a request and return its answer.

    ``deadline_s`` is the request's remaining time in seconds. ``from_token`` is the
    index of the first token wanted, above 0 when an interrupted answer is resumed.
    ``fingerprint`` is the hash that equal requests share. A request with ``alone`` set
    needs exclusive use of the runner while it runs. A ``standby`` takes over from a
    silent runner; it is sent only after its own engine has shown that it lives. An
    entry that ``accepts_silence`` takes ``RunnerSilent`` among the replies.
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
    standby: bool = False
    accepts_silence: bool = False


class RunnerSilent(NamedTuple):
    """Tells that the runner of a request is silent; it keeps the request."""

    attempt: int


class Token(NamedTuple):
    """One token of an engine's answer; ``position`` is its index from 0."""

    attempt: int
    position: int
    text: str


class StreamEnd(NamedTuple):
    """End of an engine's answer, with the index after its last token."""

    attempt: int
    n_tokens: int


class PlainAnswer(NamedTuple):
    """Complete answer of a plain service."""

    attempt: int
    status: int
    content_type: str
    body: bytes


class RunnerLoad(NamedTuple):
    """Load of a runner, reported by its home with each answer.

    ``n_online`` and ``n_batch`` count requests in flight and queued; ``capacity`` is
    the maximum number in flight.
    """

    runner_id: RunnerId
    capacity: int
    n_online: int
    n_batch: int
