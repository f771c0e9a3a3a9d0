"""Transports for calls to the platform's store."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from damaskjunction.core import (
    Address,
    PlatformUnavailableError,
    PlatformUnknownError,
    Timers,
)
from damaskjunction.core.types import EMPTY
from damaskjunction.http import (
    JSON_TYPE,
    BrokenResponseError,
    ConnectFailedError,
    HttpClient,
)

OBJECTS_PATH = "/damaskjunction/objects"
PROBE_TARGET = f"{OBJECTS_PATH}/config/main?StaleOk=1"
PROBE_STALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.4


class StoreReply(NamedTuple):
    """Status and body of a response of the store."""

    status: int
    body: bytes


class StoreTransport(Protocol):
    """Transport for calls to the store."""

    async def send(
        self, method: str, target: str, body: bytes, stall_s: float
    ) -> StoreReply:
        """Send a call; ``stall_s`` is the stall timeout of the response.

        Raises ``PlatformUnavailableError`` if the store did not receive the call, and
        ``PlatformUnknownError`` if it may have received it.
        """

    async def probe(self) -> StoreReply:
        """Send a cheap read to check that the store is reachable; see ``send``."""


class DirectTransport:
    """Transport over connections of this process.

    Parameters
    ----------
    address : Address
        Address of the store.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, address: Address, timers: Timers) -> None:
        self._address = address
        self._client = HttpClient(timers, connect_timeout_s=CONNECT_TIMEOUT_S)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    async def send(
        self, method: str, target: str, body: bytes, stall_s: float
    ) -> StoreReply:
        """Send a call; ``stall_s`` is the stall timeout of the response.

        Raises
        ------
        PlatformUnavailableError
            If the store did not receive the call.
        PlatformUnknownError
            If the store may have received the call.
        """
        headers: Mapping[str, str] = {"Content-Type": JSON_TYPE} if body else EMPTY
        try:
            response = await self._client.send(
                self._address,
                method,
                target,
                headers=headers,
                body=body,
                stall_s=stall_s,
            )
            return StoreReply(response.status, await response.read())
        except ConnectFailedError as error:
            raise PlatformUnavailableError(str(error)) from None
        except BrokenResponseError as error:
            raise PlatformUnknownError(str(error)) from None

    async def probe(self) -> StoreReply:
        """Send a cheap read to check that the store is reachable; see ``send``."""
        return await self.send("GET", PROBE_TARGET, b"", PROBE_STALL_TIMEOUT_S)
