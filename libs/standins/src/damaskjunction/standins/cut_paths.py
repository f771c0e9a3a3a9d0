"""Paths from one host process to runners, which can be cut at run time."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Any
from unittest import mock

from damaskjunction.core import Address
from damaskjunction.http import Request, Response, Routes, read_json, to_json_response


class Cut(StrEnum):
    """How paths are cut.

    ``RESET`` aborts the connections that exist and refuses new ones. ``REFUSE`` leaves
    those that exist alone. ``HANG`` delivers nothing more and completes no new ones.
    """

    RESET = "reset"
    REFUSE = "refuse"
    HANG = "hang"


class CutPaths:
    """Cuts the connections of this process to some addresses.

    ``PUT /test/cut`` takes ``{"addresses": [...], "how": ...}``; without addresses all
    paths are whole again.
    """

    def __init__(self) -> None:
        self._cut_by_address: dict[Address, Cut] = {}
        self._transports_by_address: dict[Address, list[asyncio.Transport]] = {}

    def install(self) -> None:
        """Take over how the running event loop opens connections."""
        loop = asyncio.get_running_loop()
        self._create_connection = loop.create_connection
        mock.patch.object(loop, "create_connection", self._connect).start()

    def register(self, routes: Routes) -> None:
        """Add the route ``PUT /test/cut``."""

        @routes.register("PUT", "/test/cut")
        async def set_cut(request: Request) -> Response:
            document = await read_json(request)
            addresses = [Address.from_text(text) for text in document["addresses"]]
            self.cut(addresses, Cut(document.get("how", Cut.RESET)))
            return to_json_response({"n_cut": len(addresses)})

    def cut(self, addresses: list[Address], how: Cut) -> None:
        """Cut the paths to these addresses only."""
        for address in self._cut_by_address:
            for transport in self._open_transports(address):
                transport.resume_reading()
        self._cut_by_address = dict.fromkeys(addresses, how)
        for address in addresses:
            for transport in self._open_transports(address):
                if how is Cut.RESET:
                    transport.abort()
                elif how is Cut.HANG:
                    transport.pause_reading()

    def _open_transports(self, address: Address) -> list[asyncio.Transport]:
        transports = self._transports_by_address.get(address, [])
        return [t for t in transports if not t.is_closing()]

    async def _connect(
        self, make_protocol: Any, host: Any = None, port: Any = None, **options: Any
    ) -> Any:
        how = self._cut_by_address.get(Address(host, port))
        if how is Cut.HANG:
            await asyncio.Event().wait()
        if how is not None:
            raise ConnectionRefusedError(f"the path to {host}:{port} is cut")
        connected = await self._create_connection(make_protocol, host, port, **options)
        address = Address(host, port)
        transports = self._open_transports(address)
        self._transports_by_address[address] = [*transports, connected[0]]
        return connected
