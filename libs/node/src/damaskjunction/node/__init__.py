"""Components of one host, their composition root and the host's daemon."""

from damaskjunction.node.components import Component, PeerHandlers
from damaskjunction.node.connection_probe import refuses_connections
from damaskjunction.node.daemon import main, run_host
from damaskjunction.node.datagrams import (
    DatagramEndpoint,
    DatagramEndpointFactory,
    DatagramHandler,
    open_udp_endpoint,
)
from damaskjunction.node.membership import Membership
from damaskjunction.node.registered_names import check_registered_names
from damaskjunction.node.root import HostProcess
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import TaskSet, cancel_tasks

__all__ = [
    "Component",
    "DatagramEndpoint",
    "DatagramEndpointFactory",
    "DatagramHandler",
    "HostProcess",
    "HostView",
    "Membership",
    "PeerHandlers",
    "TaskSet",
    "cancel_tasks",
    "check_registered_names",
    "main",
    "open_udp_endpoint",
    "refuses_connections",
    "run_host",
]
