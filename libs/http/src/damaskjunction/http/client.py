"""HTTP/1.1 client on h11 with a pool of idle connections per address."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncGenerator, Callable, Mapping
from contextlib import aclosing

from damaskjunction.core import Address, Subscription, Timers, parse_digits
from damaskjunction.core.types import EMPTY
from damaskjunction.core.units import MIB
from damaskjunction.http.backlog import BacklogTurns
from damaskjunction.http.connection import (
    DEFAULT_STALL_TIMEOUT_S,
    Connection,
    ResponseHead,
)
from damaskjunction.http.connector import Connector, DirectConnector
from damaskjunction.http.messages import (
    BrokenResponseError,
    PeerSilentError,
)
from damaskjunction.http.pacing import ReadPacer
from damaskjunction.http.peer_query import PeerQuery, is_usable_after
from damaskjunction.http.receive_budget import KeptBytes, ReceiveBudget

DEFAULT_CONNECT_TIMEOUT_S = 2.0
DEFAULT_IDLE_TIMEOUT_S = 20.0
DEFAULT_MAX_BODY_BYTES = 64 * MIB
SWEEP_INTERVAL_S = 2.0


class HttpClient:
    """An HTTP client with a pool of keep-alive connections.

    Clients share no state. Give work that must not be delayed by other work a client of
    its own.

    Parameters
    ----------
    timers : Timers
        Clock that measures how long a connection has been idle.
    connect_timeout_s : float
        Timeout of a connection attempt, in seconds.
    idle_timeout_s : float
        Seconds after which an idle connection is not reused. A keep-alive timeout
        announced by the peer can shorten it.
    tls : ssl.SSLContext, optional
        TLS context; without one, connections are plain TCP.
    connector : Connector, optional
        Opens the connections, in place of TCP connections with the above timeout.
    budget : ReceiveBudget, optional
        Bounds what is kept of all responses; one for this client by default.
    """

    def __init__(
        self,
        timers: Timers,
        *,
        connect_timeout_s: float = DEFAULT_CONNECT_TIMEOUT_S,
        idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S,
        tls: ssl.SSLContext | None = None,
        connector: Connector | None = None,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._timers = timers
        self._idle_timeout_s = idle_timeout_s
        self._connector = connector or DirectConnector(connect_timeout_s, tls)
        self._turns = BacklogTurns()
        self.budget = budget or ReceiveBudget()
        self._idle_by_address: dict[Address, list[Connection]] = {}
        self._sweep: Subscription | None = None
        self.n_connections_opened = 0

    async def send(
        self,
        address: Address,
        method: str,
        target: str,
        *,
        headers: Mapping[str, str] = EMPTY,
        body: bytes = b"",
        stall_s: float = DEFAULT_STALL_TIMEOUT_S,
        new_connection: bool = False,
        before_send: Callable[[], None] | None = None,
        peer_query: PeerQuery | None = None,
    ) -> ClientResponse:
        """Send a request and return once the status and headers have arrived.

        Parameters
        ----------
        address : Address
            Address of the server.
        method, target : str
            Method and target of the request line.
        headers : mapping, optional
            Additional headers. ``Host`` and ``Content-Length`` are set from the address
            and the body unless given here.
        body : bytes, optional
            The complete request body.
        stall_s : float, optional
            Seconds without received data, or waiting for the send buffer to drain,
            after which the request fails; also for the whole head of the response.
        new_connection : bool, optional
            Open a new connection instead of reusing an idle one, whose peer may be
            dead without having closed it.
        before_send : callable, optional
            Called once connected, right before the first byte is written. If it raises,
            nothing is sent and the exception propagates.
        peer_query : PeerQuery, optional
            Send the request only to the expected process.

        Raises
        ------
        ConnectFailedError
            The connection could not be opened, or has not the expected peer; no byte
            was sent.
        BrokenResponseError
            At least part of the request was sent, but no response arrived.
        """
        if peer_query is None:
            connection = await self._acquire(address, new_connection)
        else:
            connection = await self._acquire_to(peer_query, address, new_connection)
        try:
            if before_send is not None:
                before_send()
            head = await connection.exchange(method, target, headers, body, stall_s)
        except BaseException:
            connection.abort()
            raise
        return ClientResponse(head, connection, self)

    async def prepare(
        self, address: Address, peer_query: PeerQuery | None = None
    ) -> None:
        """Keep a connection ready for the next request to a server.

        With a query, the server is asked now, also on a connection where it was before.

        Raises
        ------
        ConnectFailedError
            The connection could not be opened, or has not the expected peer.
        """
        if peer_query is None:
            connection = await self._acquire(address, new_connection=False)
        else:
            connection = await self._acquire_to(
                peer_query, address, new_connection=False, is_asked_now=True
            )
        self._keep_idle(connection)

    def close(self) -> None:
        """Close all idle connections."""
        if self._sweep is not None:
            self._sweep.cancel()
        for connections in self._idle_by_address.values():
            for connection in connections:
                connection.abort()
        self._idle_by_address.clear()

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool after its response was read completely."""
        if not connection.prepare_for_reuse():
            connection.abort()
            return
        self._keep_idle(connection)

    def _keep_idle(self, connection: Connection) -> None:
        connection.idle_since_s = self._timers.now()
        if self._sweep is None:
            self._sweep = self._timers.once(SWEEP_INTERVAL_S, self._close_unusable)
        connections = self._idle_by_address.setdefault(connection.address, [])
        while connections and not self._is_usable(connections[0]):
            connections.pop(0).abort()
        connections.append(connection)

    async def _acquire(self, address: Address, new_connection: bool) -> Connection:
        connection = None if new_connection else self._take_idle(address)
        return connection or await self._connect(address)

    async def _acquire_to(
        self,
        query: PeerQuery,
        address: Address,
        new_connection: bool,
        *,
        is_asked_now: bool = False,
    ) -> Connection:
        """Return a connection to the expected peer, in the time of the query.

        With ``is_asked_now`` an answer that an idle connection had before is not used.
        """
        try:
            async with asyncio.timeout(query.timeout_s):
                connection = await self._acquire(address, new_connection)
                if is_asked_now:
                    connection.peer = None
                return await self._verify(query, connection)
        except TimeoutError:
            detail = f"{address}: not told in {query.timeout_s:.3f} s"
            raise PeerSilentError(detail) from None

    async def _verify(self, query: PeerQuery, connection: Connection) -> Connection:
        """Return a connection to the expected peer, this one if it is still usable."""
        if await is_usable_after(query, connection):
            return connection
        connection.abort()
        return await self._connect_before(query, connection.address)

    async def _connect_before(self, query: PeerQuery, address: Address) -> Connection:
        """Return a connection that was opened before a query on another one.

        For peers that close connections after the query: processes follow each other,
        so the expected one was the peer all the while if it answers afterwards.
        """
        connection = await self._connect(address)
        try:
            other = await self._connect(address)
            await is_usable_after(query, other)
            other.abort()
        except BaseException:
            connection.abort()
            raise
        connection.peer = query.expected
        return connection

    def _take_idle(self, address: Address) -> Connection | None:
        connections = self._idle_by_address.get(address, [])
        while connections:
            connection = connections.pop()
            if self._is_usable(connection):
                return connection
            connection.abort()
        self._idle_by_address.pop(address, None)
        return None

    def _close_unusable(self) -> None:
        """Close the idle connections that can't be used again.

        Their peers may send on them without end, or may not be asked again at all.
        """
        self._sweep = None
        idle_by_address, self._idle_by_address = self._idle_by_address, {}
        for address, connections in idle_by_address.items():
            usable = [c for c in connections if self._is_usable(c)]
            for connection in connections:
                if connection not in usable:
                    connection.abort()
            if usable:
                self._idle_by_address[address] = usable
        if self._idle_by_address:
            self._sweep = self._timers.once(SWEEP_INTERVAL_S, self._close_unusable)

    def _is_usable(self, connection: Connection) -> bool:
        idle_s = self._timers.now() - connection.idle_since_s
        timeout_s = min(self._idle_timeout_s, connection.keep_alive_timeout_s)
        return idle_s < timeout_s and connection.is_reusable()

    async def _connect(self, address: Address) -> Connection:
        opened = await self._connector.connect(address)
        self.n_connections_opened += 1
        return Connection(address, opened, self._turns)


class ClientResponse:
    """A response whose body is streamed.

    The caller must either read the body to its end, which returns the connection to
    the pool, or call ``close``. ``is_first`` says that its request was the first on its
    connection, so that it can be the response to no earlier one, ``is_relayed`` that
    the connection leads through another host.
    """

    def __init__(
        self, head: ResponseHead, connection: Connection, client: HttpClient
    ) -> None:
        self.status = head.status
        self.headers = head.headers
        self.is_first = connection.n_requests == 1
        self.is_relayed = connection.is_relayed
        self._connection: Connection | None = connection
        self._client = client
        self._address = connection.address
        self._kept: KeptBytes | None = None

    @property
    def ends_with_connection(self) -> bool:
        """Whether the body has neither a length nor chunks; its end is unsure then."""
        framing = ("content-length", "transfer-encoding")
        return not any(name in self.headers for name in framing)

    def set_stall_timeout(self, stall_s: float) -> None:
        """Set the stall timeout of the body: seconds without received data."""
        if self._connection is not None:
            self._connection.stall_s = stall_s

    def set_pacer(self, pacer: ReadPacer) -> None:
        """Read the rest of the body together with others, at intervals.

        For bodies that nobody reads along: the end of this one is seen up to an
        interval late.
        """
        if self._connection is not None:
            self._connection.pacer = pacer

    def keep(self, n_bytes: int) -> None:
        """Tell how many bytes of the body the reader keeps at present.

        When all responses together keep too many, the largest is given up of the peer
        that sent most.

        Raises
        ------
        BrokenResponseError
            When it is this one.
        """
        if self._kept is None and n_bytes:
            self._kept = self._client.budget.open(self._abort, self._address)
        if self._kept is not None:
            self._kept.resize(n_bytes)

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in parts as they arrive.

        Raises
        ------
        BrokenResponseError
            When the connection closes or stalls before the end of the body, or too
            much of it is kept.
        """
        connection = self._connection
        if connection is None:
            return
        try:
            while (chunk := await connection.read_body()) is not None:
                yield chunk
            if self._kept is not None:
                self._kept.check()  # its connection was closed, which is no end
        except BaseException:
            self.close()
            raise
        self._connection = None
        self._end_keeping()
        self._client.release(connection)

    async def read(
        self,
        max_bytes: int = DEFAULT_MAX_BODY_BYTES,
        *,
        on_data: Callable[[], None] | None = None,
    ) -> bytes:
        """Return the complete body; ``on_data`` is called for each part of it.

        Raises
        ------
        BrokenResponseError
            When the connection closes or stalls before the end of the body, or the body
            has more than ``max_bytes``.
        """
        body = bytearray()
        if (parse_digits(self.headers.get("content-length", "")) or 0) > max_bytes:
            self.close()
            raise BrokenResponseError("the body is too large")
        async with aclosing(self.chunks()) as chunks:
            async for chunk in chunks:
                if on_data is not None:
                    on_data()
                body += chunk
                if len(body) > max_bytes:
                    raise BrokenResponseError("the body is too large")
                self.keep(len(body))
        return bytes(body)

    def close(self) -> None:
        """Abort the connection unless the body has been read to its end."""
        self._end_keeping()
        self._abort()

    def _abort(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _end_keeping(self) -> None:
        if self._kept is not None:
            self._kept.close()
