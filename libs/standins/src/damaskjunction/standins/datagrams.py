"""Datagrams with faults: seeded loss and cuts, set at run time."""

from __future__ import annotations

import random

from damaskjunction.core import Address
from damaskjunction.http import HttpServer, Routes
from damaskjunction.node import DatagramEndpoint, DatagramHandler, open_udp_endpoint
from damaskjunction.standins.faults import Faults


class FaultyDatagrams:
    """An endpoint that loses some of what it receives.

    Faults: ``loss`` (share of datagrams lost, 0 to 1) and ``cut_from`` (a list of
    addresses of which nothing arrives).

    Parameters
    ----------
    control : Address
        Where ``PUT /test/faults`` is served.
    seed : int
        Seed of the loss.
    """

    def __init__(self, control: Address, seed: int) -> None:
        self._chance = random.Random(f"{seed}/{control}")
        self._take: DatagramHandler | None = None
        self.faults = Faults("loss", "cut_from")
        routes = Routes()
        self.faults.register(routes)
        self._control = HttpServer(control, routes.handle)

    async def open(self, address: Address, take: DatagramHandler) -> DatagramEndpoint:
        """Bind a socket and pass on what is not lost."""
        self._take = take
        await self._control.start()
        return await open_udp_endpoint(address, self._filter)

    def _filter(self, data: bytes, address: Address) -> None:
        if self._chance.random() < self.faults["loss"]:
            return
        if str(address) in (self.faults["cut_from"] or ()):
            return
        if self._take is not None:
            self._take(data, address)
