"""The fault matrix: every fault at every step of every flow."""

from damaskjunction.lab.matrix import faults as _faults  # noqa: F401 - fills a registry
from damaskjunction.lab.matrix import flows as _flows  # noqa: F401 - fills a registry
from damaskjunction.lab.matrix.cell import (
    Cell,
    faults,
    flows,
    needs_proxies,
    run_cell,
)

__all__ = ["Cell", "faults", "flows", "needs_proxies", "run_cell"]
