"""Server end of the links from other hosts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import TypeAlias

from damaskjunction.core import Address, Outcome, RequestError, Timers
from damaskjunction.core.units import KIB
from damaskjunction.http import (
    ClientEnd,
    ClientGuard,
    Holding,
    bound_receive_buffer,
    open_listener,
)
from damaskjunction.wire.channel import (
    CREDIT_REPLIES,
    WINDOW_REPLIES,
    Channel,
    FrameTooLargeError,
    NoRoomError,
    Operation,
)
from damaskjunction.wire.codec import (
    DecodeError,
    Frame,
    Message,
    decode_message,
    encode_message,
)
from damaskjunction.wire.messages import Failure
from damaskjunction.wire.tunnels import OpenTunnel, read_tunnel_ask

logger = logging.getLogger(__name__)

MAX_CALLS = 1024  # in progress on one connection
CALL_BYTES = 4 * KIB  # of a call in progress, beside its message
STREAM_LIMIT_BYTES = 32 * KIB
BACKLOG = 1024
N_ACCEPTED_AT_ONCE = 32
MAX_DETAIL_CHARACTERS = 200  # of a failure, which may quote what the peer has sent

Reply: TypeAlias = Callable[[Message], Awaitable[None]]
CallHandler: TypeAlias = Callable[[Message, Reply], Awaitable[None]]
TunnelHandler: TypeAlias = Callable[
    [OpenTunnel, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class PeerServer:
    """Server for calls from other hosts.

    Parameters
    ----------
    address : Address
        Address to listen on.
    timers : Timers
        The process's timer service.
    handle : callable
        Handles a message and sends any number of replies; a ``RequestError`` that it
        raises is sent to the calling host.
    serve_tunnel : callable, optional
        Serves a tunnel to a runner on a connection until it ends. Without it, none is
        opened.
    guard : ClientGuard, optional
        Bounds on all that connect to this server.
    """

    def __init__(
        self,
        address: Address,
        timers: Timers,
        handle: CallHandler,
        serve_tunnel: TunnelHandler | None = None,
        *,
        guard: ClientGuard | None = None,
    ) -> None:
        self._address = address
        self._timers = timers
        self._guard = guard or ClientGuard(timers.now)
        self._handle = handle
        self._serve_tunnel = serve_tunnel
        self._server: asyncio.Server | None = None
        self._sessions: set[_Session] = set()

    async def start(self) -> None:
        """Start listening and serving."""
        listener = open_listener(self._address)
        self._server = await asyncio.start_server(
            self._serve,
            sock=listener,
            limit=STREAM_LIMIT_BYTES,
            # The event loop accepts so many in one of its iterations.
            backlog=N_ACCEPTED_AT_ONCE,
        )
        listener.listen(BACKLOG)

    async def drain(self) -> None:
        """Wait until no call is in progress."""
        while tasks := [task for session in self._sessions for task in session.tasks]:
            await asyncio.wait(tasks)

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for session in list(self._sessions):
            session.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = _Peer(ClientEnd(writer, self._guard, self._timers.now), writer)
        if not self._guard.connections.try_add(peer):
            peer.evict()
            return
        bound_receive_buffer(writer)
        try:
            await self._serve_peer(peer, reader, writer)
        except NoRoomError as error:
            peer.end.report(str(error))
        except (OSError, asyncio.IncompleteReadError):
            pass  # the connection was closed by either end
        except DecodeError as error:
            extra = {"peer": peer.end.name, "error": str(error)}
            logger.warning("peer sent an invalid frame", extra=extra)
        except asyncio.CancelledError:
            pass  # the event loop is shutting down
        finally:
            self._guard.connections.remove(peer)
            writer.transport.abort()

    async def _serve_peer(
        self, peer: _Peer, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        received = self._guard.memory.open(lambda: peer.end.drop("slow frame"))
        try:
            first, ask = await read_tunnel_ask(reader, received)
        finally:
            received.close()
        if ask is None:
            await self._serve_calls(peer, first, reader, writer)
        elif self._serve_tunnel is not None:
            peer.begin_work()
            await self._serve_tunnel(ask, reader, writer)

    async def _serve_calls(
        self,
        peer: _Peer,
        first: Frame,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        session = _Session(
            peer, reader, writer, self._timers, handle=self._handle, guard=self._guard
        )
        self._sessions.add(session)
        try:
            await session.run(first)
        finally:
            self._sessions.discard(session)


class _Peer:
    """The other end of a connection, which may have to make room for another one."""

    def __init__(self, end: ClientEnd, writer: asyncio.StreamWriter) -> None:
        self.end = end
        self.n_served = 0
        self._writer = writer

    @property
    def waits_since_s(self) -> float | None:
        """Since when nothing is done for the peer, None while something is."""
        return self.end.waits_since_s

    def begin_work(self) -> None:
        """Note that a call, or a tunnel, is served."""
        self.n_served += 1
        self.end.end_wait()

    def evict(self) -> None:
        """Close the connection at once: another one needs its room."""
        self.end.report("too many connections")
        self._writer.transport.abort()


class _ServerCall:
    """One call in progress at the server end."""

    def __init__(self, holding: Holding) -> None:
        self.holding = holding
        self.credit = WINDOW_REPLIES
        self.credit_added = asyncio.Event()
        self.task: asyncio.Task[None] | None = None

    async def consume_credit(self) -> None:
        """Wait for credit and consume it for one reply."""
        while self.credit <= 0:
            self.credit_added.clear()
            await self.credit_added.wait()
        self.credit -= 1

    def add_credit(self) -> None:
        """Add the credit of one ``CREDIT`` frame."""
        self.credit += CREDIT_REPLIES
        self.credit_added.set()


class _Session:
    """The server end of one connection."""

    def __init__(
        self,
        peer: _Peer,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        timers: Timers,
        *,
        handle: CallHandler,
        guard: ClientGuard,
    ) -> None:
        self._peer = peer
        self._guard = guard
        self._channel = Channel(
            reader,
            writer,
            timers,
            self._handle_frame,
            turns=guard.turns,
            memory=guard.memory,
            on_cut=peer.end.report,
        )
        self._handle = handle
        self._calls_by_id: dict[int, _ServerCall] = {}

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """The tasks of the calls in progress."""
        calls = self._calls_by_id.values()
        return [call.task for call in calls if call.task is not None]

    async def run(self, first: Frame) -> None:
        """Serve calls until the connection ends; ``first`` is its first frame."""
        try:
            await self._channel.run(first)
        finally:
            for task in self.tasks:
                task.cancel()

    def close(self) -> None:
        """Abort the connection."""
        self._channel.abort()

    def _handle_frame(self, frame: Frame) -> None:
        call = self._calls_by_id.get(frame.call_id)
        if frame.operation == Operation.CALL:
            self._start_call(frame)
        elif call is None:
            return
        elif frame.operation == Operation.CREDIT:
            call.add_credit()
        elif frame.operation == Operation.CANCEL and call.task is not None:
            call.task.cancel()

    def _start_call(self, frame: Frame) -> None:
        if frame.call_id in self._calls_by_id:
            raise DecodeError(f"call {frame.call_id} is in progress")
        holding = self._guard.memory.open(self.close)
        n_bytes = CALL_BYTES + len(frame.body)
        has_room = holding.try_resize(n_bytes, is_favoured=True)
        if not has_room or len(self._calls_by_id) >= MAX_CALLS:
            holding.close()
            self._refuse(frame)
            return
        holding.fix()
        call = _ServerCall(holding)
        self._calls_by_id[frame.call_id] = call
        self._peer.begin_work()
        self._channel.start_keepalive()
        call.task = asyncio.ensure_future(self._run_call(frame, call))
        call.task.add_done_callback(lambda _: self._finish_call(frame.call_id))

    def _refuse(self, frame: Frame) -> None:
        self._peer.end.report("too many calls")
        failure = Failure(
            Outcome.NOT_RUN, "overloaded", "too many calls in progress", 1.0
        )
        self._send(frame.call_id, failure)
        self._channel.send(Frame(frame.call_id, Operation.END))

    def _finish_call(self, call_id: int) -> None:
        self._calls_by_id.pop(call_id).holding.close()
        if not self._calls_by_id:
            self._peer.end.begin_wait()
            self._channel.stop_keepalive()

    async def _run_call(self, frame: Frame, call: _ServerCall) -> None:
        async def reply(message: Message) -> None:
            await call.consume_credit()
            self._send(frame.call_id, message)
            await self._channel.drain()

        try:
            await self._handle(decode_message(frame.kind, frame.body), reply)
        except RequestError as error:
            self._send(frame.call_id, Failure.from_error(error))
        except DecodeError as error:
            detail = str(error)[:MAX_DETAIL_CHARACTERS]
            failure = Failure(Outcome.NOT_RUN, "bad_message", detail, 0.0)
            self._send(frame.call_id, failure)
        except FrameTooLargeError as error:
            failure = Failure(Outcome.RAN, "answer_too_large", str(error), 0.0)
            self._send(frame.call_id, failure)
        except OSError:
            return
        except Exception:
            logger.exception("peer call failed", extra={"kind": frame.kind})
            failure = Failure(Outcome.UNKNOWN, "internal_error", "", 0.0)
            self._send(frame.call_id, failure)
        self._channel.send(Frame(frame.call_id, Operation.END))

    def _send(self, call_id: int, message: Message) -> None:
        kind = type(message).__name__
        body = encode_message(message)
        self._channel.send(Frame(call_id, Operation.REPLY, kind, body))
