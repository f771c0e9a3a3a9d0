"""Components of one host, their composition root and the host's daemon.

The package does not import the root, the daemon and the check of registered names, so
that a process that uses a few components loads no others: see ``node.root``,
``node.daemon`` and ``node.admin.registered_names``.
"""

from damaskjunction.node.components import Component, PeerHandlers
from damaskjunction.node.guards import HostGuards, make_guards
from damaskjunction.node.membership.datagrams import (
    DatagramEndpoint,
    DatagramEndpointFactory,
    DatagramHandler,
    open_udp_endpoint,
)
from damaskjunction.node.membership.membership import Membership
from damaskjunction.node.memory_shares import (
    CLIENT_FRACTION,
    MemoryShares,
    share_memory,
)
from damaskjunction.node.runners.connection_probe import refuses_connections
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import TaskSet, cancel_tasks, supervise

__all__ = [
    "CLIENT_FRACTION",
    "Component",
    "DatagramEndpoint",
    "DatagramEndpointFactory",
    "DatagramHandler",
    "HostGuards",
    "HostView",
    "Membership",
    "MemoryShares",
    "PeerHandlers",
    "TaskSet",
    "cancel_tasks",
    "make_guards",
    "open_udp_endpoint",
    "refuses_connections",
    "share_memory",
    "supervise",
]
