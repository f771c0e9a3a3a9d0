"""A request as the entry host receives it, and the answer of a plain service."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import aclosing
from typing import NamedTuple

from damaskjunction.core import (
    Outcome,
    RequestError,
    RequestId,
    ServiceName,
    WorkClass,
    WorkspaceName,
)
from damaskjunction.routing import AnswerPart, PlainAnswer


class CallerRequest(NamedTuple):
    """Request of a caller or a batch worker, as the entry host receives it."""

    request_id: RequestId
    service: ServiceName
    workspace: WorkspaceName
    work_class: WorkClass
    deadline_s: float
    idempotent: bool
    path: str
    content_type: str
    body: bytes
    prompt: str = ""
    from_token: int = 0


async def read_plain_answer(
    messages: AsyncGenerator[AnswerPart, None],
) -> PlainAnswer:
    """Return the answer of a plain service from a stream of messages.

    Raises
    ------
    RequestError
        When the stream contains no answer of a plain service.
    """
    async with aclosing(messages):
        async for message in messages:
            if isinstance(message, PlainAnswer):
                return message
    raise RequestError(
        Outcome.RAN, "bad_answer", "the messages contain no answer of a plain service"
    )
