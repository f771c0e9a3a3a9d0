"""Composition root and daemon of one host."""

from damaskjunction.node.daemon import main, run_host
from damaskjunction.node.datagrams import (
    Datagrams,
    OpenDatagrams,
    TakeDatagram,
    open_datagrams,
)
from damaskjunction.node.registered_names import check_registered_names
from damaskjunction.node.root import HostProcess

__all__ = [
    "Datagrams",
    "HostProcess",
    "OpenDatagrams",
    "TakeDatagram",
    "check_registered_names",
    "main",
    "open_datagrams",
    "run_host",
]
