"""Interface and shared dependencies of a host's components, and peer handlers."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol, TypeAlias

from damaskjunction.core import Outcome, Registry, RequestError, Timers
from damaskjunction.http import Routes
from damaskjunction.node.state import HostView
from damaskjunction.platform import PlatformClient
from damaskjunction.telemetry import Metrics, StateDump
from damaskjunction.wire import Message, PeerLinks, Reply

if TYPE_CHECKING:  # a host on the platform has no such settings; YAML is slow to load
    from damaskjunction.settings import HostSettings

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


class SharedDependencies(NamedTuple):
    """Dependencies that the components of a host share."""

    settings: HostSettings
    view: HostView
    store: PlatformClient
    links: PeerLinks
    timers: Timers
    rng: random.Random
    metrics: Metrics
    dump: StateDump
    routes: Routes
    peer_handlers: PeerHandlers
