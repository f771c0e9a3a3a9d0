"""The servers of a host that its clients reach, and the bounds that they share."""

from __future__ import annotations

from damaskjunction.core import Address
from damaskjunction.core.units import KIB
from damaskjunction.gateway.front_end import FrontEnd
from damaskjunction.http import ClientGuard, HttpLimits, HttpServer, Routes
from damaskjunction.node import CLIENT_FRACTION
from damaskjunction.platform import ProcessSettings
from damaskjunction.routing import CallerLimits

# The configured limit is on headers; the server also counts the request line.
REQUEST_LINE_ALLOWANCE_BYTES = 8 * KIB
MAX_BODY_MEMORY_FRACTION = 0.4


class ClientServers:
    """Servers for callers, readiness probes, reads of addresses and inspection.

    Parameters
    ----------
    settings : ProcessSettings
        Addresses, memory and descriptors.
    front_end : FrontEnd
        Serves requests.
    inspection : Routes
        Metrics and the dump.
    guard : ClientGuard
        Bounds on all clients.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        front_end: FrontEnd,
        inspection: Routes,
        guard: ClientGuard,
    ) -> None:
        assert settings.caller is not None
        self._settings = settings
        self._guard = guard
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
