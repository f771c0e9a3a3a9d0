"""Composition root and daemon of one host."""

from damaskjunction.node.daemon import main, run_host
from damaskjunction.node.root import HostProcess

__all__ = ["HostProcess", "main", "run_host"]
