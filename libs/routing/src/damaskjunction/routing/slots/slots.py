"""Slot allocation for the runners of one service, done by the service's home.

The home counts the requests in flight at each runner. Online requests take any free
slot. Batch requests take what is left above a reserve, and their slots are revoked
when online requests wait. A slot is held until it is released.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping

from damaskjunction.core import (
    DataCentre,
    RequestId,
    RunnerId,
    WorkClass,
    WorkspaceName,
)
from damaskjunction.routing.runners.ejection import EjectionPolicy, OutlierEjection
from damaskjunction.routing.runners.runner_preference import RunnerPreference
from damaskjunction.routing.slots.batch_queue import BatchQueue
from damaskjunction.routing.slots.batch_reserve import n_reserved_slots
from damaskjunction.routing.slots.held_slots import HeldSlots
from damaskjunction.routing.slots.online_queue import OnlineQueue
from damaskjunction.routing.slots.overload_refusals import (
    MIN_RETRY_AFTER_S,
    OverloadRefusals,
)
from damaskjunction.routing.slots.rate_limits import (
    BATCH_TOKENS,
    RateLimiter,
    RunnerLimit,
)
from damaskjunction.routing.slots.revocations import revoke_batch
from damaskjunction.routing.slots.runner_supplies import runner_supplies
from damaskjunction.routing.slots.slot_demand import SlotDemand
from damaskjunction.routing.slots.slot_types import (
    NO_RUNNER_LEFT,
    GrantSlot,
    RefuseSlot,
    SlotCounts,
    SlotEffect,
    SlotTicket,
)
from damaskjunction.routing.slots.unseen_requests import UnseenRequests
from damaskjunction.routing.slots.wait_forecast import WaitForecast
from damaskjunction.routing.versions.stream_versions import RunnerVersions
from damaskjunction.routing.workspaces.fair_shares import FairShares

MAX_BATCH_QUEUE = 4096
TAKEOVER_GRACE_S = 0.4
VERSION_GONE = "version_gone"  # the reason of a refusal

FAILURE_EJECTION = EjectionPolicy(n_failures=1, base_s=0.7, limit_s=6.0, burst_s=1.0)


class SlotPool:
    """Allocates the slots of one service's runners to requests.

    Online requests are served in the order of ``OnlineQueue``, batch requests by
    earliest due time. Runners that failed recently are ejected for a while.

    Parameters
    ----------
    batch_rule : str, optional
        Name of the rule that tells which batch requests go before late ones.
    runner_score : str, optional
        Name of the score by which runners are compared.
    """

    def __init__(
        self,
        *,
        batch_rule: str = "in_time_first",
        runner_score: str = "expected_completion",
    ) -> None:
        self._slots_by_runner: dict[RunnerId, int] = {}
        self._versions = RunnerVersions()
        self._shares = FairShares()
        self._held = HeldSlots(self._shares)
        self._waiting_online = OnlineQueue(self._shares)
        self._refusals = OverloadRefusals(self._waiting_online, self._shares)
        self._waiting_batch = BatchQueue(batch_rule)
        self._preference = RunnerPreference(runner_score, self._held.speeds)
        self._ejection = OutlierEjection(FAILURE_EJECTION)
        self._rate_limiter = RateLimiter()
        self._unseen = UnseenRequests()
        self._batch_starts_at_s = 0.0

    @property
    def counts(self) -> SlotCounts:
        """Current counts of slots, their holders and waiting requests."""
        return SlotCounts(
            sum(self._slots_by_runner.values()),
            len(self._held.online_by_id),
            len(self._held.batch_by_id),
            len(self._waiting_online),
            len(self._waiting_batch),
        )

    @property
    def n_starts_by_place(self) -> Mapping[str, int]:
        """Requests given to runners inside and outside the asker's data centre."""
        return self._preference.n_starts_by_place

    def set_shares(self, weights_by_workspace: Mapping[WorkspaceName, float]) -> None:
        """Set the weights of the workspaces under contention; others have 1."""
        self._shares.set_weights(weights_by_workspace)

    def set_runners(
        self,
        slots_by_runner: Mapping[RunnerId, int],
        now_s: float,
        versions: RunnerVersions = RunnerVersions(),  # noqa: B008 - never changed
        data_centres: Mapping[RunnerId, DataCentre] = {},
    ) -> list[SlotEffect]:
        """Replace the usable runners, their slot counts, versions and data centres.

        Requests that wait for runners of which none is left are refused.
        """
        self._versions = versions
        self._slots_by_runner = dict(sorted(slots_by_runner.items()))
        self._preference.set_runners(self._slots_by_runner, data_centres)
        self._rate_limiter.retain_runners(slots_by_runner)
        self._unseen.retain_runners(slots_by_runner)
        return [*self._refuse_unservable(), *self._dispatch(now_s)]

    def _refuse_unservable(self) -> list[SlotEffect]:
        waiting = (*self._waiting_online.tickets(), *self._waiting_batch.tickets())
        refusals = [r for ticket in waiting if (r := self._refusal_of(ticket))]
        for refusal in refusals:
            self._waiting_online.discard(refusal.request_id)
            self._waiting_batch.discard(refusal.request_id)
        return list(refusals)

    def _refusal_of(self, ticket: SlotTicket) -> RefuseSlot | None:
        """Return the refusal of a request that no runner may serve.

        Batch requests wait for any runner, unless they have to keep a version.
        """
        request_id = ticket.request_id
        if not self._versions.serves(ticket.software_version):
            return RefuseSlot(request_id, VERSION_GONE, MIN_RETRY_AFTER_S)
        if ticket.work_class is WorkClass.BATCH:
            return None
        excluded = self._excluded_runners(ticket)
        if any(name not in excluded for name in self._slots_by_runner):
            return None
        reason = NO_RUNNER_LEFT if self._slots_by_runner else "no_runner"
        return RefuseSlot(request_id, reason, self._held.online_times.mean_s)

    def submit(self, ticket: SlotTicket, now_s: float) -> list[SlotEffect]:
        """Grant a request a slot, queue it or refuse it.

        A new online request is refused when it is predicted to miss its latency goal;
        a repeated one may wait until the latest time at which it can start.
        """
        if (refusal := self._refusal_of(ticket)) is not None:
            return [refusal]
        if ticket.work_class is WorkClass.BATCH:
            if len(self._waiting_batch) >= MAX_BATCH_QUEUE:
                return [RefuseSlot(ticket.request_id, "overloaded", 1.0)]
            self._add_batch(ticket, now_s)
            return self._dispatch(now_s)
        forecast = self._forecast(now_s, self._excluded_runners(ticket))
        refused = self._waiting_online.admit(ticket, forecast, now_s)
        if refused is None:
            return self._dispatch(now_s)
        refusals = self._refuse([refused], now_s)
        return refusals if refused is ticket else [*refusals, *self._dispatch(now_s)]

    def _add_batch(self, ticket: SlotTicket, now_s: float) -> None:
        n_slots = sum(self._slots_by_runner.values()) - len(self._held.online_by_id)
        work_s = self._held.batch_times.mean_s
        self._waiting_batch.add(ticket, now_s, work_s, n_slots)

    def start_takeover(self, now_s: float) -> None:
        """Start as the home, and grant no batch slots for ``TAKEOVER_GRACE_S``.

        The slots that are already in use are reported in that time.
        """
        self._batch_starts_at_s = now_s + TAKEOVER_GRACE_S

    def observe_report(
        self, runner_id: RunnerId, n_requests: int, now_s: float
    ) -> list[SlotEffect]:
        """Process a runner's own count of requests."""
        n_held = self._held.used_by_runner[runner_id]
        self._unseen.observe_report(runner_id, n_requests, n_held, now_s)
        return self._dispatch(now_s)

    def observe_limits(self, limits: Iterable[RunnerLimit], now_s: float) -> None:
        """Apply the rate limits that runners have named; they take effect at once."""
        known = (limit for limit in limits if limit.runner_id in self._slots_by_runner)
        self._rate_limiter.observe(known, now_s)

    def is_limited(self, runner_id: RunnerId) -> bool:
        """Return whether a runner is known to have a rate limit."""
        return self._rate_limiter.is_limited(runner_id)

    def adopt(self, ticket: SlotTicket, runner_id: RunnerId, now_s: float) -> None:
        """Record a slot that the previous home granted before the takeover."""
        self._record_held(ticket, runner_id, now_s)

    def release(self, request_id: RequestId, now_s: float) -> list[SlotEffect]:
        """Free the slot of a request, or remove the request from the queue."""
        self._waiting_online.discard(request_id)
        self._waiting_batch.discard(request_id)
        held = self._held.remove(request_id, now_s)
        if held is not None:
            self._unseen.record_release(held.runner_id, now_s)
        return self._dispatch(now_s)

    def record_failure(self, runner_id: RunnerId, now_s: float) -> float:
        """Eject a runner that failed a request, and forget its cache and speed.

        Returns for how many seconds it is ejected.
        """
        self._ejection.record_failure(runner_id, now_s)
        self._preference.record_failure(runner_id, now_s)
        return self._ejection.ejected(now_s).get(runner_id, 0.0)

    def record_success(self, runner_id: RunnerId) -> None:
        """End the ejection of a runner that has answered."""
        self._ejection.record_success(runner_id)

    def expire(self, now_s: float) -> list[SlotEffect]:
        """Refuse online requests that can't start in time, and forget old reports."""
        self._unseen.forget_old(now_s)
        effects = self._dispatch(now_s)
        self._shares.update(self._forecast(now_s).n_served_at_once, now_s)
        if not self._waiting_online:
            return effects
        late = self._waiting_online.remove_late(self._forecast(now_s), now_s)
        return [*effects, *self._refuse(late, now_s)]

    def _refuse(self, tickets: list[SlotTicket], now_s: float) -> list[SlotEffect]:
        return [*self._refusals.refuse(tickets, self._forecast(now_s), now_s)]

    def to_document(self) -> dict[str, object]:
        """Return the state for the diagnostic dump."""
        return {
            **self.counts._asdict(),
            **self._preference.to_document(),
            "hold_s": round(self._held.online_times.mean_s, 4),
            "batch_hold_s": round(self._held.batch_times.mean_s, 4),
            "used_by_runner": dict(self._held.used_by_runner),
            "slots_by_runner": dict(self._slots_by_runner),
            "unseen_by_runner": dict(self._unseen.n_by_runner),
            "limit_per_s_by_runner": self._rate_limiter.to_document(),
            **self._refusals.to_document(),
        }

    def _forecast(self, now_s: float, avoid: Collection[RunnerId] = ()) -> WaitForecast:
        """Return the forecast of waits for the runners that are not to be avoided."""
        slots_by_runner = {
            runner_id: max(0, slots - self._unseen.n_at(runner_id))
            for runner_id, slots in self._slots_by_runner.items()
            if runner_id not in avoid
        }
        supplies = runner_supplies(
            slots_by_runner, self._held, self._rate_limiter, now_s
        )
        return WaitForecast(supplies, self._held.online_times.mean_s)

    def _dispatch(self, now_s: float) -> list[SlotEffect]:
        """Grant free slots; revoke batch slots if online requests still wait.

        Batch gets none that a waiting online request could have.
        """
        effects: list[SlotEffect] = []
        if not (self._waiting_online or self._waiting_batch):
            return effects
        free_by_runner = self._free_by_runner(now_s)
        if self._waiting_online and free_by_runner:
            effects += self._grant_online(free_by_runner, now_s)
        if self._waiting_online:
            demand = SlotDemand(self._waiting_online.tickets(), self._versions)
            for name in filter(demand.wants, list(free_by_runner)):
                del free_by_runner[name]
            effects += self._revoke(demand, now_s)
        return effects + self._grant_batch(free_by_runner, now_s)

    def _grant_online(
        self, free_by_runner: dict[RunnerId, int], now_s: float
    ) -> list[SlotEffect]:
        effects: list[SlotEffect] = []
        for ticket in self._waiting_online.in_service_order(now_s):
            if not free_by_runner:
                break
            runner_id = self._choose_runner(ticket, free_by_runner, now_s)
            if runner_id is None:
                continue
            self._waiting_online.take(ticket, now_s)
            effects.append(self._grant(ticket, runner_id, free_by_runner, now_s))
        return effects

    def _free_by_runner(self, now_s: float) -> dict[RunnerId, int]:
        """Return how many requests each healthy runner takes now, if any."""
        names = list(self._slots_by_runner)
        free_by_runner: dict[RunnerId, int] = {}
        for runner_id in self._ejection.healthy(names, str, now_s):
            tokens = self._rate_limiter.tokens(runner_id, now_s)
            n_free = int(min(self._n_free_slots(runner_id), tokens))
            if n_free > 0:
                free_by_runner[runner_id] = n_free
        return free_by_runner

    def _n_free_slots(self, runner_id: RunnerId) -> int:
        n_taken = self._held.used_by_runner[runner_id] + self._unseen.n_at(runner_id)
        return self._slots_by_runner[runner_id] - n_taken

    def _choose_runner(
        self,
        ticket: SlotTicket,
        free_by_runner: Mapping[RunnerId, int],
        now_s: float,
    ) -> RunnerId | None:
        """Return the runner that suits a request best among those with free slots."""
        excluded = self._excluded_runners(ticket)
        candidates = [name for name in free_by_runner if name not in excluded]
        is_batch = ticket.work_class is WorkClass.BATCH
        if is_batch or self._waiting_batch:
            candidates = self._rate_limiter.preferred(candidates, are_limited=is_batch)
        n_free_by_runner = {name: self._n_free_slots(name) for name in candidates}
        duration_s = self._held.times_of(ticket.work_class).mean_s
        return self._preference.choose(ticket, n_free_by_runner, duration_s, now_s)

    def _excluded_runners(self, ticket: SlotTicket) -> tuple[RunnerId, ...]:
        """Return the runners that must not be given a request.

        A batch request that excludes every runner of its version would wait forever, so
        its exclusions are ignored.
        """
        others = self._versions.others(ticket.software_version)
        excluded = (*ticket.avoid, *others)
        is_batch = ticket.work_class is WorkClass.BATCH
        if is_batch and all(name in excluded for name in self._slots_by_runner):
            return others
        return excluded

    def _grant(
        self,
        ticket: SlotTicket,
        runner_id: RunnerId,
        free_by_runner: dict[RunnerId, int],
        now_s: float,
    ) -> GrantSlot:
        self._record_held(ticket, runner_id, now_s)
        self._rate_limiter.take(runner_id, now_s)
        free_by_runner[runner_id] -= 1
        if not free_by_runner[runner_id]:
            del free_by_runner[runner_id]
        return GrantSlot(ticket.request_id, runner_id)

    def _record_held(
        self, ticket: SlotTicket, runner_id: RunnerId, now_s: float
    ) -> None:
        self._held.add(ticket, runner_id, now_s)
        self._preference.record_start(ticket, runner_id)

    def _revoke(self, demand: SlotDemand, now_s: float) -> list[SlotEffect]:
        usable = set(self._ejection.healthy(list(self._slots_by_runner), str, now_s))
        return [*revoke_batch(self._held, demand, usable, self._rate_limiter, now_s)]

    def _grant_batch(
        self, free_by_runner: dict[RunnerId, int], now_s: float
    ) -> list[SlotEffect]:
        effects: list[SlotEffect] = []
        if not (free_by_runner and self._waiting_batch):
            return effects
        if now_s < self._batch_starts_at_s:
            return effects
        for name in list(free_by_runner):
            if self._rate_limiter.tokens(name, now_s) < BATCH_TOKENS:
                del free_by_runner[name]
        usable = self._ejection.healthy(list(self._slots_by_runner), str, now_s)
        n_reserved = n_reserved_slots(
            min(self._slots_by_runner[name], self._rate_limiter.burst(name))
            for name in usable
        )
        n_available = sum(free_by_runner.values()) - n_reserved
        skipped: list[SlotTicket] = []
        while n_available > 0:
            ticket = self._waiting_batch.pop(now_s, self._held.batch_times.high_s)
            if ticket is None:
                break
            runner_id = self._choose_runner(ticket, free_by_runner, now_s)
            if runner_id is None:
                skipped.append(ticket)
                continue
            effects.append(self._grant(ticket, runner_id, free_by_runner, now_s))
            n_available -= 1
        for ticket in skipped:
            self._add_batch(ticket, now_s)
        return effects
