"""Composition root and daemon of one host."""

from damaskjunction.node.daemon import main, run_host
from damaskjunction.node.datagrams import (
    DatagramEndpoint,
    DatagramEndpointFactory,
    DatagramHandler,
    open_udp_endpoint,
)
from damaskjunction.node.membership import Membership
from damaskjunction.node.parts import Part, PeerHandlers
from damaskjunction.node.registered_names import check_registered_names
from damaskjunction.node.root import HostProcess
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import TaskSet, end_tasks

__all__ = [
    "DatagramEndpoint",
    "DatagramEndpointFactory",
    "DatagramHandler",
    "HostProcess",
    "HostView",
    "Membership",
    "Part",
    "PeerHandlers",
    "TaskSet",
    "check_registered_names",
    "end_tasks",
    "main",
    "open_udp_endpoint",
    "run_host",
]
