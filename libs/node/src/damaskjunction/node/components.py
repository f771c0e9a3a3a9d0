"""Interface of a host's components, and handlers of calls from other hosts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeAlias

from damaskjunction.core import Outcome, Registry, RequestError
from damaskjunction.wire import Message, Reply

PeerHandler: TypeAlias = Callable[[Any, Reply], Awaitable[None]]


class Component(Protocol):
    """Component of a host that is started and closed."""

    async def start(self) -> None:
        """Start background work and accept calls."""

    async def close(self) -> None:
        """Stop and release all resources."""


class PeerHandlers:
    """Handlers of calls from other hosts, by message type."""

    def __init__(self) -> None:
        self._handlers_by_type: Registry[PeerHandler] = Registry("peer message")

    def register(
        self, message_type: type[Message]
    ) -> Callable[[PeerHandler], PeerHandler]:
        """Return a decorator that registers the handler of a message type."""
        return self._handlers_by_type.register(message_type.__name__)

    async def handle(self, message: Message, reply: Reply) -> None:
        """Pass a message to its handler, which sends the replies.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no handler is registered for the message type.
        """
        type_name = type(message).__name__
        if type_name not in self._handlers_by_type:
            detail = f"no handler is registered for {type_name!r}"
            raise RequestError(Outcome.NOT_RUN, "unhandled_message", detail)
        await self._handlers_by_type.get(type_name)(message, reply)
