"""The serving state of a host: its active routes and the known runners."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping

from damaskjunction.core import (
    Configuration,
    FindingError,
    HostState,
    Region,
    Runner,
    RunnerId,
    ServiceName,
    Subscription,
    Timers,
)
from damaskjunction.membership import FleetView
from damaskjunction.node import HostView
from damaskjunction.platform import (
    CONFIGURATION_NAME,
    ObjectChange,
    PlatformObject,
    decode_configuration,
    decode_runner,
)
from damaskjunction.routing import RouteTable

logger = logging.getLogger(__name__)

LAPSE_S = 2.2
OUTAGE_MEMORY_S = 4.0


class ServingState:
    """The active routes and the runners, both read from the platform's store alone.

    Parameters
    ----------
    view : HostView
        Receives the runners and the version of the active routes.
    timers : Timers
        The process's timer service.
    regions_by_data_centre : mapping
        Region of each data centre.
    """

    def __init__(
        self,
        view: HostView,
        timers: Timers,
        regions_by_data_centre: Mapping[str, Region],
    ) -> None:
        self.view = view
        self.table = RouteTable()
        self._timers = timers
        self._regions = regions_by_data_centre
        self._runners_by_id: dict[RunnerId, Runner] = {}
        self._live_by_service: dict[ServiceName, list[Runner]] = {}
        self._fleet_of_live: FleetView | None = None
        self._lapses_by_id: dict[RunnerId, Subscription] = {}
        self._store_failed_at: Callable[[], float | None] = lambda: None

    def set_outage_source(self, store_failed_at: Callable[[], float | None]) -> None:
        """Set the function that returns when a read of the runners last failed."""
        self._store_failed_at = store_failed_at

    def runners_of(self, service: ServiceName) -> list[Runner]:
        """Return the runners of a service that accept new work."""
        if self._fleet_of_live is not self.view.fleet:
            self._fleet_of_live = self.view.fleet
            self._live_by_service = {}
            for runner in self.view.fleet.live_runners():
                self._live_by_service.setdefault(runner.service, []).append(runner)
        return self._live_by_service.get(service, [])

    # Routes

    def take_configurations(self, objects: tuple[PlatformObject, ...]) -> None:
        """Apply the configuration among the stored objects."""
        for stored in objects:
            self._take_configuration(stored)

    def take_configuration_change(self, change: ObjectChange) -> None:
        """Apply a change of the configuration; a removal is ignored."""
        if not change.is_removed:
            self._take_configuration(change.object)

    def _take_configuration(self, stored: PlatformObject) -> None:
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            table = decode_configuration(stored)
        except FindingError as error:
            logger.error("configuration invalid", extra={"error": str(error)})
            return
        if table.version <= self.table.version:
            return
        extra = {"version": table.version, "former_version": self.table.version}
        logger.info("configuration in force", extra=extra)
        self.table = table
        self.view.apply_configuration(Configuration(revision=table.version))

    # Runners

    def take_runners(self, objects: tuple[PlatformObject, ...]) -> None:
        """Replace all runners by the stored entries."""
        names = {stored.name for stored in objects}
        for runner_id in list(self._runners_by_id):
            if runner_id not in names:
                self._lose_runner(runner_id)
        for stored in objects:
            self._take_runner(stored)
        self._apply_runners()

    def take_runner_change(self, change: ObjectChange) -> None:
        """Apply a change of one runner's entry."""
        if change.is_removed:
            self._lose_runner(change.object.name)
        else:
            self._take_runner(change.object)
        self._apply_runners()

    def _take_runner(self, stored: PlatformObject) -> None:
        self._keep(stored.name)
        try:
            runner = decode_runner(stored, self._regions)
        except FindingError as error:
            logger.warning("runner's entry invalid", extra={"error": str(error)})
            self._runners_by_id.pop(stored.name, None)
            return
        known = self._runners_by_id.get(runner.runner_id)
        if known == runner:
            return
        self._runners_by_id[runner.runner_id] = runner
        extra = {
            "runner": runner.runner_id,
            "service": runner.service,
            "state": runner.state.value,
            "revision": stored.revision,
        }
        logger.info("runner known" if known is None else "runner changed", extra=extra)

    def _lose_runner(self, runner_id: RunnerId) -> None:
        """Remove a runner; after a recent outage of the store, defer the removal.

        Entries can expire during the outage; the delay lets the runner write its
        entry again.
        """
        if runner_id not in self._runners_by_id or runner_id in self._lapses_by_id:
            return
        now_s = self._timers.now()
        failed_at_s = self._store_failed_at()
        runner = self._runners_by_id[runner_id]
        if (
            failed_at_s is None
            or now_s - failed_at_s > OUTAGE_MEMORY_S
            or runner.state is HostState.LEAVING
        ):
            self._drop(runner_id)
            return
        logger.info("runner's entry expired", extra={"runner": runner_id})
        self._lapses_by_id[runner_id] = self._timers.once(
            LAPSE_S, lambda: self._end_lapse(runner_id)
        )

    def _end_lapse(self, runner_id: RunnerId) -> None:
        self._lapses_by_id.pop(runner_id, None)
        self._drop(runner_id)
        self._apply_runners()

    def _keep(self, runner_id: RunnerId) -> None:
        lapse = self._lapses_by_id.pop(runner_id, None)
        if lapse is not None:
            lapse.cancel()

    def _drop(self, runner_id: RunnerId) -> None:
        if self._runners_by_id.pop(runner_id, None) is not None:
            logger.info("runner gone", extra={"runner": runner_id})

    def _apply_runners(self) -> None:
        self.view.apply_runners(self._runners_by_id.values())
