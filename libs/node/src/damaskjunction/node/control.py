"""Control: follows configuration, plan and hosts; plans under the region's lease."""

from __future__ import annotations

import asyncio
import json
import logging
import uuid
from collections.abc import Awaitable, Callable

from damaskjunction.core import (
    ConflictError,
    FindingsError,
    Plan,
    PlatformError,
    Revision,
    Runner,
    ServiceKind,
    Timers,
)
from damaskjunction.http import BrokenResponseError, ConnectFailedError, HttpClient
from damaskjunction.membership import make_view
from damaskjunction.node.documents import (
    CONFIGURATION_KIND,
    LEASE_KIND,
    PLAN_KIND,
    LeaseDocument,
)
from damaskjunction.node.state import HostView
from damaskjunction.placement import from_plan, make_plan, to_plan
from damaskjunction.platform import ObjectStore, StoredObject
from damaskjunction.settings import read_configuration

logger = logging.getLogger(__name__)

WATCH_S = 10.0
RETRY_S = 0.5
HOSTS_INTERVAL_S = 1.0
LEASE_INTERVAL_S = 1.0
LEASE_S = 5.0
ORDER_TIMEOUT_S = 2.0


class Control:
    """The control loops of one host.

    Parameters
    ----------
    view : HostView
        Takes what is found out.
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
        self._tasks: list[asyncio.Task[None]] = []
        self._lease_version: Revision = 0
        self._lease_seen_at_s = 0.0
        self._is_holder = False

    async def start(self) -> None:
        """Start the loops."""
        loops = (
            self._follow(CONFIGURATION_KIND, self._take_configuration),
            self._follow(PLAN_KIND, self._take_plan),
            self._repeat(self._refresh_hosts, HOSTS_INTERVAL_S),
            self._repeat(self._lead, LEASE_INTERVAL_S),
        )
        self._tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def close(self) -> None:
        """Stop the loops."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._client.close()

    async def _follow(self, kind: str, take: Callable[[StoredObject], None]) -> None:
        """Pass on every change of a kind, through outages of the platform."""
        revision = 0
        while True:
            try:
                result = await self._store.watch(
                    kind, after_revision=revision, timeout_s=WATCH_S
                )
            except PlatformError as error:
                logger.warning("watch failed", extra={"error": str(error)})
                await asyncio.sleep(RETRY_S)
                continue
            revision = result.revision
            for stored in result.objects:
                take(stored)

    async def _repeat(
        self, step: Callable[[], Awaitable[None]], interval_s: float
    ) -> None:
        while True:
            try:
                await step()
            except PlatformError as error:
                logger.warning("control step failed", extra={"error": str(error)})
            await asyncio.sleep(interval_s)

    def _take_configuration(self, stored: StoredObject) -> None:
        try:
            configuration = read_configuration(
                stored.value.decode(), stored.name, stored.version
            )
        except FindingsError as error:
            logger.error("stored text has findings", extra={"error": str(error)})
            return
        if self._view.apply_configuration(configuration):
            logger.info(
                "configuration in force", extra={"revision": configuration.revision}
            )

    def _take_plan(self, stored: StoredObject) -> None:
        if stored.name == self._view.own.region:
            self._view.apply_plan(to_plan(json.loads(stored.value), stored.version))

    async def _refresh_hosts(self) -> None:
        hosts = await self._store.hosts()
        self._view.apply_fleet(make_view(hosts.hosts, hosts.runners))

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
