"""One cell of the fault matrix: a fault injected at one step of a flow."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeAlias

from damaskjunction.core import Registry
from damaskjunction.standins import DeployedFleet


class Cell(NamedTuple):
    """A flow, the step at which faults begin, and their names."""

    flow: str
    step: str
    faults: tuple[str, ...]
    seed: int = 1


class Situation:
    """A fleet, the cell to run and who the faults hit.

    ``entry`` is the host that the flow talks to and ``victim`` another one, which
    faults of hosts hit; ``runner`` is the engine that faults of runners hit.

    Parameters
    ----------
    deployed : DeployedFleet
        A fleet with its text in force.
    cell : Cell
        What to inject and when.
    """

    def __init__(self, deployed: DeployedFleet, cell: Cell) -> None:
        self.deployed = deployed
        self.fleet = deployed.fleet
        self.cell = cell
        self.chance = random.Random(cell.seed)
        hosts = sorted(deployed.hosts_by_id)
        self.entry, self.victim = self.chance.sample(hosts, 2)
        engines = [
            runner_id
            for runner_id, runner in sorted(deployed.runners_by_id.items())
            if not runner.service
        ]
        self.runner = self.chance.choice(engines)
        self.is_injected = False

    async def reach(self, step: str) -> None:
        """Tell that the flow is at a step; inject the faults if it is theirs."""
        if step != self.cell.step or self.is_injected:
            return
        self.is_injected = True
        for name in self._ordered():
            await faults.get(name).inject(self)

    async def heal(self) -> None:
        """End the faults."""
        for name in reversed(self._ordered()):
            await faults.get(name).heal(self)

    def _ordered(self) -> list[str]:
        """Return the faults, those that stop a process last."""
        return sorted(self.cell.faults, key=lambda name: faults.get(name).stops_process)


Act: TypeAlias = Callable[[Situation], Awaitable[None]]


class Fault(NamedTuple):
    """A fault: how it begins and how it ends.

    ``needs_proxies`` tells that hosts and runners must be behind proxies, and
    ``stops_process`` that a process can't be given other faults any more.
    """

    inject: Act
    heal: Act
    needs_proxies: bool = False
    stops_process: bool = False


class Flow(NamedTuple):
    """A flow: its steps in order, what it does, and what must hold after healing."""

    steps: tuple[str, ...]
    act: Act


faults: Registry[Fault] = Registry("fault")
flows: Registry[Flow] = Registry("flow")


def needs_proxies(cell: Cell) -> bool:
    """Return whether a cell's fleet must have its hosts and runners behind proxies."""
    return any(faults.get(name).needs_proxies for name in cell.faults)


async def run_cell(deployed: DeployedFleet, cell: Cell) -> None:
    """Run one cell on a fleet with its text in force.

    Raises
    ------
    AssertionError
        When a promise does not hold.
    """
    situation = Situation(deployed, cell)
    flow = flows.get(cell.flow)
    if cell.step not in flow.steps:
        raise ValueError(f"{cell.flow!r} has the steps {flow.steps}, not {cell.step!r}")
    await flow.act(situation)
    if not situation.is_injected:
        raise AssertionError(f"the flow did not reach {cell.step!r}")
