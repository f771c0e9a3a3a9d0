"""The fault matrix: every fault at every step of every flow."""

from damaskjunction.lab.matrix import faults as _faults  # noqa: F401 - fills a registry
from damaskjunction.lab.matrix import flows as _flows  # noqa: F401 - fills a registry
from damaskjunction.lab.matrix.situation import Cell, faults, flows, run_cell

__all__ = ["Cell", "faults", "flows", "run_cell"]
