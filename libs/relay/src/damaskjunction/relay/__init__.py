"""Connections to runners: directly, or through another host while that fails."""

from damaskjunction.relay.access import RunnerAccess
from damaskjunction.relay.connector import RunnerConnector, RunnerUnreachableError
from damaskjunction.relay.diagnosis import PathDiagnosis
from damaskjunction.relay.direct import Attempt, DirectPath, Streams
from damaskjunction.relay.relays import Relays
from damaskjunction.relay.server import TunnelServer

__all__ = [
    "Attempt",
    "DirectPath",
    "PathDiagnosis",
    "Relays",
    "RunnerAccess",
    "RunnerConnector",
    "RunnerUnreachableError",
    "Streams",
    "TunnelServer",
]
