"""UDP endpoint with injected faults: seeded packet loss and blocked senders."""

from __future__ import annotations

import random

from damaskjunction.core import Address
from damaskjunction.http import HttpServer, Routes
from damaskjunction.node import DatagramEndpoint, DatagramHandler, open_udp_endpoint
from damaskjunction.standins.cut_paths import CutPaths
from damaskjunction.standins.faults import Faults


class FaultyDatagrams:
    """Opens UDP endpoints that drop some of the datagrams they receive.

    Faults: ``loss`` (probability that a datagram is dropped, 0 to 1) and ``cut_from``
    (a list of addresses whose datagrams are all dropped).

    Parameters
    ----------
    control : Address
        Address on which ``PUT /test/faults`` is served.
    seed : int
        Seed of the random loss, combined with ``control`` so that hosts differ.
    paths : CutPaths
        Faults of this process's connections, set on the same address.
    """

    def __init__(self, control: Address, seed: int, paths: CutPaths) -> None:
        self._rng = random.Random(f"{seed}/{control}")
        self._on_datagram: DatagramHandler | None = None
        self.faults = Faults("loss", "cut_from")
        routes = Routes()
        self.faults.register(routes)
        paths.register(routes)
        self._control_server = HttpServer(control, routes.handle)

    async def open(
        self, address: Address, on_datagram: DatagramHandler
    ) -> DatagramEndpoint:
        """Bind a socket; pass the datagrams that are not dropped to the callback."""
        self._on_datagram = on_datagram
        await self._control_server.start()
        return await open_udp_endpoint(address, self._filter)

    def _filter(self, data: bytes, address: Address) -> None:
        if self._rng.random() < self.faults["loss"]:
            return
        if str(address) in (self.faults["cut_from"] or ()):
            return
        if self._on_datagram is not None:
            self._on_datagram(data, address)
