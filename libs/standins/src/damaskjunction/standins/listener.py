"""A listening socket that can also leave new connections hanging."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

from damaskjunction.core import Address

BACKLOG = 128
# The kernel drops the SYN of a connection while the accept queue is full, which one
# connection does without a backlog. A second one is for the case that one is accepted.
N_FILLERS = 2


class Listener:
    """Accepts connections, refuses them, or leaves them hanging as a lost SYN does.

    Parameters
    ----------
    address : Address
        Address to listen on.
    accepted : callable
        Called with the socket of each new connection.
    loop : asyncio.AbstractEventLoop
        Event loop that runs when connections are accepted.
    """

    def __init__(
        self,
        address: Address,
        accepted: Callable[[socket.socket], None],
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._address = address
        self._loop = loop
        self._accepted = accepted
        self._socket: socket.socket | None = None
        self._fillers: list[socket.socket] = []

    def accept(self) -> None:
        """Accept new connections, also those that hang."""
        listening = self._listen(BACKLOG)
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._loop.add_reader(listening, self._accept_waiting, listening)

    def hang(self) -> None:
        """Leave new connections hanging; those of before are not touched."""
        if self._fillers:
            return
        self._stop_accepting()
        self._listen(0)
        for _ in range(N_FILLERS):
            filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            filler.setblocking(False)
            filler.connect_ex(self._address)
            self._fillers.append(filler)

    def refuse(self) -> None:
        """Refuse new connections; those of before are not touched."""
        self._stop_accepting()
        if self._socket is not None:
            self._socket.close()
            self._socket = None
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()

    def _listen(self, backlog: int) -> socket.socket:
        if self._socket is None:
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self._socket.setblocking(False)
            self._socket.bind(self._address)
        self._socket.listen(backlog)
        return self._socket

    def _stop_accepting(self) -> None:
        if self._socket is not None:
            self._loop.remove_reader(self._socket)

    def _accept_waiting(self, listening: socket.socket) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                accepted, _ = listening.accept()
                self._accepted(accepted)
