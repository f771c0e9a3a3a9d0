"""Selection of the runner for each attempt at an online request."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from damaskjunction.core import (
    HostId,
    Outcome,
    RequestError,
    Runner,
    RunnerId,
    ServiceName,
    WorkClass,
    WorkspaceName,
    standby_request_id,
)
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.requests.host_counts import HostCounts
from damaskjunction.gateway.runners.runner_responses import RunnerFailedError
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.platform import CallerRequest
from damaskjunction.routing import (
    NO_RUNNER_LEFT,
    EjectionPolicy,
    OutlierEjection,
    PlainRunners,
    Route,
    RouteKind,
    StreamOrigin,
)
from damaskjunction.wire import RunnerSeen, SlotAsk

MIN_CALLER_TIMEOUT_S = 2.0
CALLER_TIMEOUT_GOAL_FACTOR = 4.0
CALLER_TIMEOUT_GAP_FACTOR = 8.0
CALLER_TIMEOUT_MARGIN_S = 0.15
QUEUE_WAIT_FRACTION = 0.6  # of the remaining time
START_GOAL_FRACTION = 0.8  # of the latency goal
RETRY_AFTER_S = 0.15
PLAIN_EJECTION = EjectionPolicy(n_failures=1, base_s=0.7, limit_s=6.0, burst_s=1.0)


class RoutedRequest(NamedTuple):
    """A caller's request on a route; times are on the monotonic clock.

    ``is_repeated`` is set when the request seems to be a retry by its caller.
    ``fingerprint`` is the hash that equal requests share. ``origin`` is that of the
    stream which the caller takes up, None for a new request. ``workspace`` is that of
    the caller's key, empty without one.
    """

    request: CallerRequest
    route: Route
    service: ServiceName
    started_at_s: float
    deadline_at_s: float
    is_repeated: bool
    fingerprint: str
    origin: StreamOrigin | None = None
    workspace: WorkspaceName = ""

    @property
    def traits(self) -> tuple[str, ...]:
        """The traits by which requests that crash runners are known."""
        return (*self.request.shared_parts, self.fingerprint)


class Assignment(NamedTuple):
    """A runner that is held for an attempt, by ``slot`` if the home has chosen it.

    ``since_s`` is the time on the ``Timers`` clock from which on it is held.
    """

    runner: Runner
    slot: Slot | None
    since_s: float = 0.0

    @property
    def home_id(self) -> HostId:
        """The home of the slot, empty without one."""
        return self.slot.home_id if self.slot is not None else ""


class RunnerSelector:
    """Selects runners: engines by slots, plain ones by the requests of this host alone.

    Parameters
    ----------
    context : DispatchContext
        The dependencies for sending requests to runners.
    """

    def __init__(self, context: DispatchContext) -> None:
        self._state = context.state
        self._slot_client = context.slot_client
        self._suspects = context.suspects
        self._version_registry = context.version_registry
        self._observed_limits = context.runner_client.observed_limits
        self._timers = context.timers
        self._metrics = context.metrics
        self._host_counts = HostCounts(context.state.view)
        self._plain_runners = PlainRunners(
            context.state.view.own.data_centre, context.rng
        )
        self._ejection = OutlierEjection(PLAIN_EJECTION)

    async def assign(
        self,
        routed: RoutedRequest,
        excluded: Collection[RunnerId],
        version: str,
        *,
        is_repeated: bool,
        is_only_attempt: bool = False,
        standby_number: int = 0,
    ) -> Assignment:
        """Hold a runner for an attempt until ``release``.

        Parameters
        ----------
        routed : RoutedRequest
            The request.
        excluded : collection of str
            Runners that must not be chosen.
        version : str
            Software version that the runner has to be of, unless it is empty.
        is_repeated : bool
            Whether another runner has been tried before.
        is_only_attempt : bool, optional
            Whether no other runner may have the request once this one has begun it.
        standby_number : int, optional
            Number of the ask among those that are made while another runner has the
            request, 0 for any other ask.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no runner is free in time.
        RunnerFailedError
            ``NOT_RUN`` when the home has chosen a runner that is not known here.
        """
        if not self.uses_slots(routed):
            chosen = self._choose_runner(routed, excluded, version)
            return self._assignment(chosen, None)
        ask = self._make_ask(routed, excluded, version, is_repeated, standby_number)
        slot = await self._slot_client.acquire(
            ask._replace(is_only_attempt=is_only_attempt)
        )
        runner = self._state.find_runner(routed.service, slot.runner_id)
        if runner is None:
            await slot.close()
            raise RunnerFailedError(
                Outcome.NOT_RUN, "runner_gone", runner_id=slot.runner_id
            )
        return self._assignment(runner, slot)

    def _assignment(self, runner: Runner, slot: Slot | None) -> Assignment:
        """Return a runner that is held from now on, and count where it is."""
        own = self._state.view.own.data_centre
        place = "inside" if runner.data_centre == own else "outside"
        self._metrics.count("runner_assignments", place=place)
        return Assignment(runner, slot, self._timers.now())

    async def release(self, assignment: Assignment) -> None:
        """Release a runner."""
        if assignment.slot is not None:
            await assignment.slot.close()
        else:
            now_s = self._timers.now()
            duration_s = now_s - assignment.since_s
            self._plain_runners.end(assignment.runner, duration_s, now_s)

    def _make_ask(
        self,
        routed: RoutedRequest,
        excluded: Collection[RunnerId],
        version: str,
        is_repeated: bool,
        standby_number: int,
    ) -> SlotAsk:
        """Return an ask; one slot of each request id is held at a home at a time."""
        request_id = routed.request.request_id
        remaining_s = routed.deadline_at_s - self._timers.now()
        return SlotAsk(
            request_id=(
                standby_request_id(request_id, standby_number)
                if standby_number
                else request_id
            ),
            service_name=routed.service,
            work_class=WorkClass.ONLINE,
            parts=routed.request.shared_parts,
            avoid=tuple(sorted(excluded)),
            start_within_s=min(
                _caller_timeout_s(routed.route), QUEUE_WAIT_FRACTION * remaining_s
            ),
            due_in_s=routed.route.priority + remaining_s,
            goal_in_s=routed.started_at_s
            + START_GOAL_FRACTION * routed.route.latency_goal_s
            - self._timers.now(),
            is_repeated=routed.is_repeated or is_repeated,
            fingerprint=routed.fingerprint,
            software_version=version,
            workspace=routed.workspace,
            data_centre=self._state.view.own.data_centre,
        )

    def uses_slots(self, routed: RoutedRequest) -> bool:
        """Return whether a request needs a slot from the home of its service.

        Requests for engines do, those that may crash runners, and those to a service
        with a runner that has named a rate limit, which only the home can share out.
        """
        return (
            self._state.has_engines(routed.service)
            or self._suspects.is_suspect(routed.service, routed.traits)
            or self._has_limited_runner(routed.service)
        )

    def _has_limited_runner(self, service: ServiceName) -> bool:
        return not self._observed_limits.is_empty and any(
            self._observed_limits.is_limited(runner.runner_id)
            for runner in self._state.runners_of(service)
        )

    def record_health(
        self,
        routed: RoutedRequest,
        runner_id: RunnerId,
        *,
        is_well: bool,
        has_slot: bool,
    ) -> None:
        """Record whether a runner is healthy, as shown by its response to a request.

        ``has_slot`` says that the home of the service has chosen the runner.
        """
        if has_slot:
            self._slot_client.report_health(
                RunnerSeen(routed.service, runner_id, is_well)
            )
        if self._state.has_engines(routed.service):
            return
        if is_well:
            self._ejection.record_success(runner_id)
        else:
            self._ejection.record_failure(runner_id, self._timers.now())
            self._plain_runners.forget(runner_id)

    def _choose_runner(
        self, routed: RoutedRequest, excluded: Collection[RunnerId], version: str
    ) -> Runner:
        """Return the plain runner that suits this host best, and count the request.

        Only runners of the software ``version`` may be chosen, unless it is empty.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no healthy runner is left.
        """
        now_s = self._timers.now()
        is_stream = routed.route.kind is RouteKind.STREAM
        may_begin = self._version_registry.may_begin

        def may_serve(runner: Runner) -> bool:
            return (
                runner.runner_id not in excluded
                and version in ("", runner.version)
                and (not is_stream or may_begin(routed.service, runner.version))
            )

        runners = self._state.runners_of(routed.service, may_serve)
        runners = list(self._ejection.healthy(runners, lambda r: r.runner_id, now_s))
        if not runners:
            reason = NO_RUNNER_LEFT if excluded else "no_runner"
            raise RequestError(Outcome.NOT_RUN, reason, retry_after_s=RETRY_AFTER_S)
        n_hosts = self._host_counts.by_data_centre()
        return self._plain_runners.begin(runners, n_hosts, now_s)


def _caller_timeout_s(route: Route) -> float:
    """Return how long callers wait for a first event, in seconds, less a margin."""
    timeout_s = max(
        MIN_CALLER_TIMEOUT_S,
        CALLER_TIMEOUT_GOAL_FACTOR * route.latency_goal_s,
        CALLER_TIMEOUT_GAP_FACTOR * route.token_interval_goal_s,
    )
    return timeout_s - CALLER_TIMEOUT_MARGIN_S
