"""Probes that tell whether the process of a runner answers."""

from __future__ import annotations

import asyncio

from damaskjunction.core import Address, Runner
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError
from damaskjunction.node import cancel_tasks


class RunnerProbes:
    """Asks runners for their reports; those who ask for the same one share a probe.

    Parameters
    ----------
    context : DispatchContext
        The client of the runners, and their services.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._state = context.state
        self._runner_client = context.runner_client
        self._probes_by_address: dict[Address, asyncio.Task[bool]] = {}

    async def close(self) -> None:
        """Cancel the probes under way."""
        await cancel_tasks(self._probes_by_address.values())

    def has_report(self, runner: Runner) -> bool:
        """Return whether a runner is of a kind that can be asked for a report."""
        return self._state.has_engines(runner.service)

    async def answers(self, runner: Runner) -> bool:
        """Return whether a runner answers with a report."""
        probe = self._probes_by_address.get(runner.address)
        if probe is None:
            probe = asyncio.ensure_future(self._probe(runner))
            self._probes_by_address[runner.address] = probe
        return await asyncio.shield(probe)

    async def _probe(self, runner: Runner) -> bool:
        try:
            await self._runner_client.fetch_report(runner)
        except RunnerFailedError:
            return False
        finally:
            del self._probes_by_address[runner.address]
        return True
