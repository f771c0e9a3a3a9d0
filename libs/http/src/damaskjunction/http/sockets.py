"""What the streams of asyncio do not offer of the sockets under them."""

from __future__ import annotations

import asyncio
import select
import socket

from damaskjunction.core import Address
from damaskjunction.core.units import KIB

TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
N_TCP_KEEPALIVE_PROBES = 3
RECEIVE_BUFFER_BYTES = 32 * KIB
KERNEL_BUFFER_BYTES = 128 * KIB


def enable_tcp_keepalive(writer: asyncio.StreamWriter) -> None:
    """Enable TCP keep-alive, so that the kernel closes connections to dead peers."""
    tcp_socket: socket.socket = writer.get_extra_info("socket")
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S
    )
    tcp_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_TCP_KEEPALIVE_PROBES
    )


def bound_receive_buffer(writer: asyncio.StreamWriter) -> None:
    """Bound what the event loop reads at once from a connection that is not read.

    It stops reading when its reader has twice ``RECEIVE_BUFFER_BYTES``.
    """
    # The bytes read at once are no public setting; the default is 256 KiB.
    if hasattr(writer.transport, "max_size"):
        writer.transport.max_size = RECEIVE_BUFFER_BYTES


def has_waiting_bytes(writer: asyncio.StreamWriter) -> bool:
    """Return whether the kernel holds bytes, an end or an error of a connection.

    The event loop reads these only when it runs next.
    """
    tcp_socket: socket.socket = writer.get_extra_info("socket")
    poller = select.poll()
    poller.register(tcp_socket, select.POLLIN)
    return bool(poller.poll(0))


def has_hung_up(writer: asyncio.StreamWriter) -> bool:
    """Return whether the peer has closed a connection, also behind unread bytes."""
    if writer.transport.is_closing():
        return True
    tcp_socket: socket.socket = writer.get_extra_info("socket")
    poller = select.poll()
    poller.register(tcp_socket, select.POLLRDHUP)
    return bool(poller.poll(0))


def open_listener(address: Address) -> socket.socket:
    """Return a socket that listens; the kernel holds little for what it accepts."""
    # Without the protocol, asyncio would not turn off Nagle's algorithm.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES)
        listener.bind(address)
        listener.listen()
    except OSError:
        listener.close()
        raise
    return listener
