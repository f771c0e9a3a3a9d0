"""Plans the region's placement while holding its lease; sends orders to engines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import uuid
from typing import Any

from damaskjunction.core import (
    ConflictError,
    Plan,
    PlatformError,
    Runner,
    Timers,
)
from damaskjunction.http import HttpClient
from damaskjunction.node.documents import PLAN_KIND
from damaskjunction.node.placement.leasing import LeaseManager, LeaseNotHeldError
from damaskjunction.node.placement.state_reports import (
    ROUND_INTERVAL_S,
    StateReportCollector,
)
from damaskjunction.node.runners.engine_orders import (
    OrderFailedError,
    StaleFencingTokenError,
    order_to_document,
    read_status,
    send_order,
)
from damaskjunction.node.runners.probing import RunnerProbes
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.placement import (
    OrderScheduler,
    PlanInput,
    ReadBack,
    RunnerStatus,
    SendOrder,
    make_plan,
    plan_to_document,
)
from damaskjunction.platform import ObjectStore
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

MIN_ROUND_PAUSE_S = 0.25

PLANS_METRIC = "placement_plans_total"
MOVES_METRIC = "placement_moves_total"
ORDERS_METRIC = "placement_orders_total"


class Placer:
    """The control loop of placement; active only on the holder of the region's lease.

    A round queries hosts for the states of their runners and the load of services,
    makes the next plan, stores it when it differs, and sends the orders that are due.

    Parameters
    ----------
    view : HostView
        Configuration, runners and the active plan.
    store : ObjectStore
        The platform's object store, which holds the plan.
    lease_manager : LeaseManager
        The region's lease.
    probes : RunnerProbes
        States of the runners whose home this host is.
    collector : StateReportCollector
        Collects runner states and load of the whole region.
    timers : Timers
        Timer service of this process.
    metrics : Metrics
        Counts plans, moves and orders.
    """

    def __init__(
        self,
        view: HostView,
        store: ObjectStore,
        *,
        lease_manager: LeaseManager,
        probes: RunnerProbes,
        collector: StateReportCollector,
        timers: Timers,
        metrics: Metrics,
    ) -> None:
        self._view = view
        self._store = store
        self._lease_manager = lease_manager
        self._probes = probes
        self._collector = collector
        self._timers = timers
        self._metrics = metrics
        self._client = HttpClient(timers)
        self._orders = OrderScheduler()
        self._planned_from: PlanInput | None = None
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the control loop."""
        self._view.subscribe(self._wake.set)
        self._probes.subscribe(self.record_change)
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop the control loop."""
        if self._task is not None:
            await cancel_tasks([self._task])
        await self._collector.close()
        self._client.close()

    def to_document(self) -> dict[str, Any]:
        """Return the state as a JSON document for the dump."""
        lease = self._lease_manager.lease
        return {
            "may_act": self._lease_manager.may_act(),
            "fence": lease.fence,
            "holder": lease.observed_holder,
            "runners": self._collector.status_tracker.statuses(self._timers.now()),
            "wanted": self._collector.demand_estimator.required_runners(
                self._view.configuration
            ),
        }

    async def _run(self) -> None:
        """Run a round every ``ROUND_INTERVAL_S``, or sooner when the view changes."""
        while True:
            self._wake.clear()
            try:
                await self._run_round()
            except PlatformError as error:
                logger.warning("placement round failed", extra={"error": str(error)})
            except Exception:
                logger.exception("placement round failed")  # the next starts afresh
                self._reset_state()
            await asyncio.sleep(MIN_ROUND_PAUSE_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(ROUND_INTERVAL_S - MIN_ROUND_PAUSE_S):
                    await self._wake.wait()

    async def _run_round(self) -> None:
        if not self._lease_manager.may_act() or not self._view.is_ready:
            self._reset_state()
            return
        if not await self._collector.run_round():
            return
        runners = self._region_runners()
        self._collector.status_tracker.retain_only(
            {runner.runner_id for runner in runners}
        )
        await self._plan(runners)
        await self._execute_order_actions(
            {runner.runner_id: runner for runner in runners}
        )

    def _reset_state(self) -> None:
        """Discard all state, so that the next term of the lease starts afresh."""
        self._collector.clear()
        self._orders.clear()
        self._planned_from = None

    def _region_runners(self) -> list[Runner]:
        region = self._view.own.region
        runners = sorted(self._view.fleet.runners_by_id.values())
        return [runner for runner in runners if runner.region == region]

    def record_change(self, status: RunnerStatus) -> None:
        """Record a changed state, or report it to the lease holder if that is known.

        A round would collect the state too, but later in a region of many hosts.
        """
        if self._lease_manager.may_act():
            self._collector.status_tracker.record(self._timers.now(), status)
            self._wake.set()
            return
        holder = self._view.fleet.hosts_by_id.get(
            self._lease_manager.observed_holder_id()
        )
        if holder is not None and holder.host_id != self._view.own.host_id:
            self._collector.report_to_holder(holder, status)

    # Plans

    async def _plan(self, runners: list[Runner]) -> None:
        view = self._view
        if view.configuration.revision < view.plan.configuration_revision:
            return  # the plan was made from a newer configuration than this host has
        plan_input = PlanInput(
            view.configuration,
            runners,
            view.plan,
            self._collector.status_tracker.statuses(self._timers.now()),
            self._collector.demand_estimator.required_runners(view.configuration),
        )
        if plan_input == self._planned_from:
            return
        plan = make_plan(plan_input)
        self._planned_from = plan_input
        if plan._replace(revision=view.plan.revision) != view.plan:
            await self._store_plan(plan)

    async def _store_plan(self, plan: Plan) -> None:
        previous_plan = self._view.plan
        if not self._lease_manager.may_act():
            self._planned_from = None
            return
        try:
            revision = await self._store.put(
                PLAN_KIND,
                self._view.own.region,
                json.dumps(plan_to_document(plan)).encode(),
                expected_version=previous_plan.revision,
                operation_id=uuid.uuid4().hex,
            )
        except ConflictError:
            self._metrics.count(PLANS_METRIC, result="conflict")
            self._planned_from = None
            return  # the watch on the platform returns the newer plan
        except PlatformError:
            self._planned_from = None
            raise
        n_moves = sum(
            previous_plan.assignments_by_runner.get(runner_id) != assignment
            for runner_id, assignment in plan.assignments_by_runner.items()
        )
        self._metrics.count(PLANS_METRIC, result="stored")
        self._metrics.count(MOVES_METRIC, n_moves)
        if n_moves:
            logger.info("plan stored", extra={"revision": revision, "moves": n_moves})
        self._view.apply_plan(plan._replace(revision=revision))

    # Orders

    async def _execute_order_actions(self, runners_by_id: dict[str, Runner]) -> None:
        now_s = self._timers.now()
        actions = self._orders.next_actions(
            now_s,
            self._view.plan,
            self._collector.status_tracker.statuses(now_s),
            held_since_s=self._lease_manager.lease.held_since_s,
        )
        coroutines = []
        for action in actions:
            match action:
                case SendOrder(assignment):
                    runner = runners_by_id.get(assignment.runner_id)
                    if runner is not None:
                        coroutines.append(self._send(runner, action))
                case ReadBack(runner_id):
                    runner = runners_by_id.get(runner_id)
                    if runner is not None:
                        coroutines.append(self._read_back(runner))
        await asyncio.gather(*coroutines)

    async def _send(self, runner: Runner, action: SendOrder) -> None:
        model = self._view.configuration.models_by_name.get(action.assignment.model)
        order = order_to_document(action.assignment, model.weights_gb if model else 1.0)
        try:
            status = await send_order(
                self._client,
                runner,
                order,
                fence=self._lease_manager.lease.fence,
                before_send=self._lease_manager.require_held,
            )
        except StaleFencingTokenError as error:
            self._metrics.count(ORDERS_METRIC, result="stale")
            logger.warning("order rejected as stale", extra={"error": str(error)})
            self._lease_manager.lease.invalidate()
        except LeaseNotHeldError:
            self._metrics.count(ORDERS_METRIC, result="withheld")
        except OrderFailedError as error:
            self._metrics.count(ORDERS_METRIC, result="failed")
            logger.warning("order failed", extra={"error": str(error)})
        else:
            self._metrics.count(ORDERS_METRIC, result="taken")
            self._collector.status_tracker.record(self._timers.now(), status)

    async def _read_back(self, runner: Runner) -> None:
        status = await read_status(self._client, runner)
        self._metrics.count(ORDERS_METRIC, result="read_back")
        # Whether the engine checks fencing tokens is not read here. The value False
        # merely delays orders to it after a takeover of the lease.
        self._collector.status_tracker.record(
            self._timers.now(), status._replace(checks_fence=False)
        )
