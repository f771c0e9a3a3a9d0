"""What the composition root shares among parts, and the handlers of peers' calls."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol, TypeAlias

from damaskjunction.core import Outcome, Registry, RequestError, Timers
from damaskjunction.http import Routes
from damaskjunction.node.state import HostView
from damaskjunction.platform import PlatformClient
from damaskjunction.settings import HostSettings
from damaskjunction.telemetry import Metrics, StateDump
from damaskjunction.wire import Message, PeerLinks, Reply

PeerHandler: TypeAlias = Callable[[Any, Reply], Awaitable[None]]


class Part(Protocol):
    """A part of a host that is started and closed."""

    async def start(self) -> None:
        """Begin to work."""

    async def close(self) -> None:
        """Stop and give back what the part holds."""


class PeerHandlers:
    """Handlers of peers' calls by the type of the message."""

    def __init__(self) -> None:
        self._handlers_by_kind: Registry[PeerHandler] = Registry("peer message")

    def register(self, kind: type[Message]) -> Callable[[PeerHandler], PeerHandler]:
        """Return a decorator that enters the handler of a type of message."""
        return self._handlers_by_kind.register(kind.__name__)

    async def handle(self, message: Message, reply: Reply) -> None:
        """Answer a message by its handler.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no part handles such messages.
        """
        kind = type(message).__name__
        if kind not in self._handlers_by_kind:
            detail = f"nothing here handles {kind!r}"
            raise RequestError(Outcome.NOT_RUN, "unhandled_message", detail)
        await self._handlers_by_kind.get(kind)(message, reply)


class Shared(NamedTuple):
    """What every part may be given."""

    settings: HostSettings
    view: HostView
    store: PlatformClient
    links: PeerLinks
    timers: Timers
    chance: random.Random
    metrics: Metrics
    dump: StateDump
    routes: Routes
    peer_handlers: PeerHandlers
