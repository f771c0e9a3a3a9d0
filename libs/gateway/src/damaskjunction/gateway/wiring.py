"""Parts of the composition root that need few of its components."""

from __future__ import annotations

from damaskjunction.core import Address
from damaskjunction.core.units import KIB
from damaskjunction.gateway.front_end import FrontEnd
from damaskjunction.gateway.inspection import make_inspection_routes
from damaskjunction.http import HttpLimits, HttpServer
from damaskjunction.platform import ProcessSettings
from damaskjunction.routing import CallerLimits
from damaskjunction.telemetry import Metrics, StateDump

# The configured limit is on headers; the server also counts the request line.
REQUEST_LINE_ALLOWANCE_BYTES = 8 * KIB
CALLER_DESCRIPTOR_FRACTION = 0.6  # of the file descriptors of the process


def http_limits(limits: CallerLimits, max_descriptors: int) -> HttpLimits:
    """Return the limits on callers' connections in a configuration."""
    return HttpLimits(
        header_bytes=limits.header_bytes + REQUEST_LINE_ALLOWANCE_BYTES,
        n_connections=int(CALLER_DESCRIPTOR_FRACTION * max_descriptors),
        body_bytes=limits.body_bytes,
        header_timeout_s=limits.header_timeout_s,
        keep_alive_timeout_s=limits.idle_timeout_s,
    )


def make_servers(
    settings: ProcessSettings, front_end: FrontEnd, metrics: Metrics, dump: StateDump
) -> list[HttpServer]:
    """Return the servers of all but callers' requests, where the settings have them."""
    servers = []
    if settings.readiness is not None:
        servers.append(HttpServer(settings.readiness, front_end.serve_readiness))
    if settings.directory is not None:
        servers.append(HttpServer(settings.directory, front_end.serve_addresses))
    if settings.metrics_port:
        address = Address(settings.ip, settings.metrics_port)
        routes = make_inspection_routes(metrics, dump)
        servers.append(HttpServer(address, routes.handle))
    return servers
