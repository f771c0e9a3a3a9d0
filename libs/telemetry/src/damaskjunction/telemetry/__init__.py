"""JSON logs, metrics and state dumps."""

from damaskjunction.telemetry.dump import StateDump
from damaskjunction.telemetry.logs import (
    NonBlockingHandler,
    RateLimitFilter,
    configure_logs,
    set_log_level,
)
from damaskjunction.telemetry.metrics import Metrics

__all__ = [
    "Metrics",
    "NonBlockingHandler",
    "RateLimitFilter",
    "StateDump",
    "configure_logs",
    "set_log_level",
]
