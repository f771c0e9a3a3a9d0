"""The slots of batch items, and those of the standbys of silent runners."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from functools import partial

from damaskjunction.core import RunnerId, WorkClass, stable_hash, standby_request_id
from damaskjunction.gateway.dispatch_context import DispatchContext
from damaskjunction.gateway.jobs.item_progress import ItemProgress
from damaskjunction.gateway.jobs.job_repository import StoredJob
from damaskjunction.gateway.jobs.owed_items import ItemNeed, ItemState
from damaskjunction.gateway.jobs.runner_probes import RunnerProbes
from damaskjunction.gateway.jobs.silence_watch import SilenceWatch
from damaskjunction.gateway.slots.slot import Slot
from damaskjunction.platform import item_request
from damaskjunction.routing import Route
from damaskjunction.wire import SlotAsk

ATTEMPT_TIMEOUT_S = 60.0  # to get a slot, and again for the runner's work


class ItemSlots:
    """Acquires the slots of items.

    Parameters
    ----------
    context : DispatchContext
        The client of the homes, and the known runners.
    find_route : callable
        Returns the route of a job that is in force, None without one.
    remaining_s : callable
        Returns the seconds until an item of a job may be given up.
    """

    def __init__(
        self,
        context: DispatchContext,
        find_route: Callable[[StoredJob], Route | None],
        remaining_s: Callable[[StoredJob, ItemProgress], float],
    ) -> None:
        self._state = context.state
        self._slot_client = context.slot_client
        self._timers = context.timers
        self._probes = RunnerProbes(context)
        self._find_route = find_route
        self._remaining_s = remaining_s

    async def close(self) -> None:
        """Cancel the probes of runners."""
        await self._probes.close()

    async def acquire(
        self, job: StoredJob, route: Route, progress: ItemProgress
    ) -> Slot:
        """Acquire a slot at a runner that may go on with the item.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when the slot is refused.
        TimeoutError
            When no slot at the item's version was granted in time.
        """
        service = route.service_for(stable_hash(progress.item.item_id))
        runners = self._state.runners_of(service)
        version = progress.version_to_keep(service, runners)
        avoid = progress.runners_to_avoid(runners, version)
        ask = self._make_ask(job, route, progress, version, avoid)
        progress.owed.need = ItemNeed(service, version, ask.avoid)
        async with asyncio.timeout(progress.slot_wait_limit_s(version)):
            return await self._slot_client.acquire(
                ask,
                lambda home: progress.owed.enter(
                    ItemState.WAITING_FOR_SLOT, place=home
                ),
                lambda: self._find_route(job) == route,
            )

    def watch(
        self,
        job: StoredJob,
        route: Route,
        progress: ItemProgress,
        slot: Slot,
        on_silence: Callable[[], None],
    ) -> SilenceWatch:
        """Return the watch that may take an item from the runner of a slot."""
        item_id = progress.item.item_id
        service = route.service_for(stable_hash(item_id))

        def is_wanted() -> bool:
            present = self._find_route(job)
            is_same = present is not None and service == present.service_for(
                stable_hash(item_id)
            )
            return is_same and self._remaining_s(job, progress) > 0

        def make_ask(avoid: Collection[RunnerId]) -> SlotAsk:
            version = progress.version.required
            ask = self._make_ask(job, route, progress, version, tuple(sorted(avoid)))
            progress.n_standbys += 1
            return ask._replace(
                request_id=standby_request_id(item_id, progress.n_standbys)
            )

        return SilenceWatch(
            progress.hearing,
            slot.runner_id,
            self._probes,
            self._slot_client,
            make_ask=make_ask,
            is_wanted=is_wanted,
            find_runner=partial(self._state.find_runner, service),
            on_silence=on_silence,
        )

    def _make_ask(
        self,
        job: StoredJob,
        route: Route,
        progress: ItemProgress,
        version: str,
        avoid: tuple[RunnerId, ...],
    ) -> SlotAsk:
        """Return an item's ask for a slot at a runner of a version."""
        record = job.record
        due_at_s = record.sent_at_s + route.completion_target_s
        return SlotAsk(
            request_id=progress.item.item_id,
            service_name=route.service_for(stable_hash(progress.item.item_id)),
            work_class=WorkClass.BATCH,
            parts=item_request(progress.item, record.host).shared_parts,
            avoid=avoid,
            start_within_s=ATTEMPT_TIMEOUT_S,
            due_in_s=due_at_s - self._timers.wall(),
            software_version=version,
            workspace=record.workspace,
            data_centre=self._state.view.own.data_centre,
        )
