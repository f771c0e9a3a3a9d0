"""Plans what runs where under the region's lease, and sends orders to engines."""

from __future__ import annotations

import asyncio
import json
import logging
import uuid

from damaskjunction.core import (
    ConflictError,
    Plan,
    Revision,
    Runner,
    ServiceKind,
    Timers,
)
from damaskjunction.http import BrokenResponseError, ConnectFailedError, HttpClient
from damaskjunction.node.documents import LEASE_KIND, PLAN_KIND, LeaseDocument
from damaskjunction.node.loops import repeat
from damaskjunction.node.state import HostView
from damaskjunction.placement import from_plan, make_plan
from damaskjunction.platform import ObjectStore

logger = logging.getLogger(__name__)

LEASE_INTERVAL_S = 1.0
LEASE_S = 5.0
ORDER_TIMEOUT_S = 2.0


class Placer:
    """The planning loop of one host; only the holder of the region's lease acts.

    Parameters
    ----------
    view : HostView
        Configuration, runners and the plan in force.
    store : ObjectStore
        The platform's service.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, view: HostView, store: ObjectStore, timers: Timers) -> None:
        self._view = view
        self._store = store
        self._timers = timers
        self._client = HttpClient(timers)
        self._task: asyncio.Task[None] | None = None
        self._lease_version: Revision = 0
        self._lease_seen_at_s = 0.0
        self._is_holder = False

    async def start(self) -> None:
        """Start planning."""
        self._task = asyncio.ensure_future(repeat(self._lead, LEASE_INTERVAL_S))

    async def close(self) -> None:
        """Stop planning."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._client.close()

    async def _lead(self) -> None:
        """Take or renew the region's lease; plan and send orders while holding it."""
        await self._renew_lease()
        if not self._is_holder or not self._view.is_ready:
            return
        runners = [
            runner
            for runner in self._view.fleet.live_runners()
            if runner.region == self._view.own.region
        ]
        plan = make_plan(self._view.configuration, runners, self._view.plan)
        if _differs(plan, self._view.plan):
            await self._store_plan(plan)
        await self._send_orders(runners)

    async def _renew_lease(self) -> None:
        region = self._view.own.region
        stored = await self._store.get(LEASE_KIND, region)
        version = stored.version if stored is not None else 0
        now_s = self._timers.now()
        if version != self._lease_version:
            self._lease_version = version
            self._lease_seen_at_s = now_s
            self._is_holder = False
        is_lapsed = version == 0 or now_s - self._lease_seen_at_s > LEASE_S
        if not (self._is_holder or is_lapsed):
            return
        document: LeaseDocument = {"holder": self._view.own.host_id}
        try:
            self._lease_version = await self._store.put(
                LEASE_KIND,
                region,
                json.dumps(document).encode(),
                expected_version=version,
                operation_id=uuid.uuid4().hex,
            )
        except ConflictError:
            self._is_holder = False
            return
        self._lease_seen_at_s = now_s
        self._is_holder = True

    async def _store_plan(self, plan: Plan) -> None:
        value = json.dumps(from_plan(plan)).encode()
        try:
            revision = await self._store.put(
                PLAN_KIND,
                self._view.own.region,
                value,
                expected_version=self._view.plan.revision,
                operation_id=uuid.uuid4().hex,
            )
        except ConflictError:
            return  # the watch brings the newer plan
        self._view.apply_plan(plan._replace(revision=revision))

    async def _send_orders(self, runners: list[Runner]) -> None:
        engines = [r for r in runners if r.kind is ServiceKind.ENGINE]
        await asyncio.gather(*(self._send_order(runner) for runner in engines))

    async def _send_order(self, runner: Runner) -> None:
        assignment = self._view.plan.assignments_by_runner.get(runner.runner_id)
        if assignment is None:
            return
        model = self._view.configuration.models_by_name.get(assignment.model)
        order = {
            "model": assignment.model,
            "version": assignment.version,
            "adapters": list(assignment.adapters),
            "role": assignment.role,
            "weights_gb": model.weights_gb if model is not None else 1.0,
        }
        body = json.dumps({"fence": self._lease_version, "order": order}).encode()
        try:
            response = await self._client.send(
                runner.address, "PUT", "/v1/order", body=body, stall_s=ORDER_TIMEOUT_S
            )
            await response.read()
        except (ConnectFailedError, BrokenResponseError) as error:
            extra = {"runner": runner.runner_id, "error": str(error)}
            logger.warning("order failed", extra=extra)


def _differs(plan: Plan, other: Plan) -> bool:
    return (
        plan.configuration_revision != other.configuration_revision
        or plan.assignments_by_runner != other.assignments_by_runner
    )
