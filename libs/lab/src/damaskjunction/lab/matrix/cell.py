"""Cells of the fault matrix: faults injected at one step of a flow."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry
from damaskjunction.standins import DeployedFleet


class Cell(NamedTuple):
    """A flow, the step at which faults are injected, and the names of the faults."""

    flow: str
    step: str
    faults: tuple[str, ...]
    seed: int = 1


class CellContext:
    """State of one cell's run: the fleet, the cell and the targets of its faults.

    ``entry`` is the host that the flow sends its requests to. Host faults are injected
    into ``victim``, a different host, and runner faults into the engine ``runner``; an
    engine is a runner of the fleet whose ``service`` is empty.

    Parameters
    ----------
    deployed : DeployedFleet
        A fleet with its configuration active.
    cell : Cell
        Which faults to inject, and when.
    """

    def __init__(self, deployed: DeployedFleet, cell: Cell) -> None:
        self.deployed = deployed
        self.fleet = deployed.fleet
        self.cell = cell
        self.rng = random.Random(cell.seed)
        hosts = sorted(deployed.hosts_by_id)
        self.entry, self.victim = self.rng.sample(hosts, 2)
        engines = [
            runner_id
            for runner_id, runner in sorted(deployed.runners_by_id.items())
            if not runner.service
        ]
        self.runner = self.rng.choice(engines)
        self.is_injected = False

    async def reach(self, step: str) -> None:
        """Inject the faults when the flow first reaches the cell's step."""
        if step != self.cell.step or self.is_injected:
            return
        self.is_injected = True
        for name in self._ordered_faults():
            await faults.get(name).inject(self)

    async def revert(self) -> None:
        """Revert the faults in reverse order, those that stopped a process first."""
        for name in reversed(self._ordered_faults()):
            await faults.get(name).revert(self)

    def _ordered_faults(self) -> list[str]:
        """Return the names of the faults, those that stop a process last."""
        return sorted(self.cell.faults, key=lambda name: faults.get(name).stops_process)


Action: TypeAlias = Callable[[CellContext], Awaitable[None]]


class Fault(NamedTuple):
    """How to inject a fault and how to revert it.

    ``needs_proxies`` is True if hosts and runners must be behind proxies, and
    ``stops_process`` if no other fault can be set in the process afterwards.
    """

    inject: Action
    revert: Action
    needs_proxies: bool = False
    stops_process: bool = False


class Flow(NamedTuple):
    """A user's sequence of requests, and the guarantees that it asserts.

    ``steps`` are the names of its steps in order. ``action`` runs the flow: it calls
    ``CellContext.reach`` at each step and ``CellContext.revert`` before it asserts the
    guarantees.
    """

    steps: tuple[str, ...]
    action: Action


faults: Registry[Fault] = Registry("fault")
flows: Registry[Flow] = Registry("flow")


def needs_proxies(cell: Cell) -> bool:
    """Return whether a cell needs hosts and runners behind proxies."""
    return any(faults.get(name).needs_proxies for name in cell.faults)


async def run_cell(deployed: DeployedFleet, cell: Cell) -> None:
    """Run one cell on a fleet with its configuration active.

    Raises
    ------
    AssertionError
        When a guarantee is violated, or the flow did not reach the cell's step.
    ValueError
        When the flow has no such step.
    """
    context = CellContext(deployed, cell)
    flow = flows.get(cell.flow)
    if cell.step not in flow.steps:
        raise ValueError(f"flow {cell.flow!r} has no step {cell.step!r}: {flow.steps}")
    await flow.action(context)
    if not context.is_injected:
        raise AssertionError(f"the flow did not reach step {cell.step!r}")
