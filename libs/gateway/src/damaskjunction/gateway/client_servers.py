"""The servers of a host that its clients reach, and the bounds that they share."""

from __future__ import annotations

from damaskjunction.core import Address, Timers
from damaskjunction.core.units import KIB
from damaskjunction.gateway.front_end import FrontEnd
from damaskjunction.http import ClientGuard, HttpLimits, HttpServer, Routes
from damaskjunction.node import CLIENT_FRACTION, MemoryShares
from damaskjunction.platform import ProcessSettings
from damaskjunction.routing import CallerLimits
from damaskjunction.telemetry import Metrics

# The configured limit is on headers; the server also counts the request line.
REQUEST_LINE_ALLOWANCE_BYTES = 8 * KIB
CLIENT_DESCRIPTOR_FRACTION = 0.4  # of the file descriptors of the process
MAX_BODY_MEMORY_FRACTION = 0.4


class ClientServers:
    """Servers for callers, readiness probes, reads of addresses and inspection.

    Parameters
    ----------
    settings : ProcessSettings
        Addresses, memory and descriptors.
    memory : MemoryShares
        Counts what is held for clients.
    front_end : FrontEnd
        Serves requests.
    inspection : Routes
        Metrics and the dump.
    timers : Timers
        The current time.
    metrics : Metrics
        Shows what is held for clients.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        memory: MemoryShares,
        front_end: FrontEnd,
        inspection: Routes,
        *,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        assert settings.caller is not None
        self._settings = settings
        max_connections = int(CLIENT_DESCRIPTOR_FRACTION * settings.max_descriptors)
        self._guard = guard = ClientGuard(
            timers.now,
            memory=memory.clients,
            connection_memory=memory.connections,
            max_connections=max_connections,
        )
        self.caller = HttpServer(settings.caller, front_end.serve, guard=guard)
        handlers = {
            settings.readiness: front_end.serve_readiness,
            settings.directory: front_end.serve_addresses,
        }
        if settings.metrics_port:
            address = Address(settings.ip, settings.metrics_port)
            handlers[address] = inspection.handle
        self._others = [
            HttpServer(address, handle, guard=guard)
            for address, handle in handlers.items()
            if address is not None
        ]
        clients, connections = guard.memory, guard.connections
        metrics.gauge("client_held_bytes", lambda: float(clients.part.n_bytes))
        metrics.gauge("client_connections", lambda: float(connections.n_open))
        metrics.gauge("clients_refused", lambda: float(clients.n_refused))
        metrics.gauge("clients_dropped", lambda: float(clients.n_dropped))
        metrics.gauge("connections_evicted", lambda: float(connections.n_evicted))

    def apply_limits(self, limits: CallerLimits) -> None:
        """Apply the configured limits; one body of the largest size finds room."""
        settings = self._settings
        self._guard.memory.part.limit_bytes = max(
            int(CLIENT_FRACTION * settings.memory_bytes),
            min(
                limits.body_bytes,
                int(MAX_BODY_MEMORY_FRACTION * settings.memory_bytes),
            ),
        )
        self.caller.set_limits(
            HttpLimits(
                header_bytes=limits.header_bytes + REQUEST_LINE_ALLOWANCE_BYTES,
                n_connections=settings.max_descriptors,  # the guard's bound is less
                body_bytes=limits.body_bytes,
                header_timeout_s=limits.header_timeout_s,
                keep_alive_timeout_s=limits.idle_timeout_s,
            )
        )

    async def start(self) -> None:
        """Start to listen; callers come last."""
        for server in (*self._others, self.caller):
            await server.start()

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for server in (self.caller, *self._others):
            await server.close()
