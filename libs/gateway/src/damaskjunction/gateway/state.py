"""The serving state of a host: its active routes and the known runners."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Mapping

from damaskjunction.core import (
    Address,
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
from damaskjunction.core.units import MILLISECOND_S
from damaskjunction.gateway.slots.home_ranking import HomeRanking
from damaskjunction.gateway.store.store_contact import StoreContact
from damaskjunction.membership import FleetView
from damaskjunction.node import HostView
from damaskjunction.platform import (
    CONFIGURATION_NAME,
    ObjectChange,
    PlatformObject,
    decode_configuration,
    decode_runner,
)
from damaskjunction.routing import (
    FormerEntries,
    LeavingNotice,
    LeavingRunners,
    RouteTable,
)

logger = logging.getLogger(__name__)


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
    leaving : LeavingRunners
        The runners that have said that they leave.
    contact : StoreContact, optional
        Tells of outages of the store, in which entries expire.

    ``homes`` ranks the known hosts as homes of slots.
    """

    def __init__(
        self,
        view: HostView,
        timers: Timers,
        regions_by_data_centre: Mapping[str, Region],
        leaving: LeavingRunners,
        contact: StoreContact | None = None,
    ) -> None:
        self.view = view
        self.homes = HomeRanking(view)
        self.leaving = leaving
        self.table = RouteTable()
        self._timers = timers
        self._regions_by_data_centre = regions_by_data_centre
        self._runners_by_id: dict[RunnerId, Runner] = {}
        self._live_runners_by_service: dict[ServiceName, list[Runner]] = {}
        self._indexed_fleet: FleetView | None = None
        self._runners_by_address: dict[Address, Runner] = {}
        self._addressed_fleet: FleetView | None = None
        self._former_entries = FormerEntries()
        self._max_wall_offset_s = float("-inf")
        self._removals_by_id: dict[RunnerId, Subscription] = {}
        self._contact = contact or StoreContact(timers)

    def runners_of(
        self, service: ServiceName, may_serve: Callable[[Runner], bool] | None = None
    ) -> list[Runner]:
        """Return the runners of a service that accept new work, ordered by id.

        ``may_serve`` tells which may serve a request, all of them by default. Runners
        that leave are returned only while none of these stays.
        """
        runners = self._live_runners_of(service)
        if may_serve is not None:
            runners = list(filter(may_serve, runners))
        return self.leaving.usable(runners, self._timers.now())

    def find_runner(self, service: ServiceName, runner_id: RunnerId) -> Runner | None:
        """Return a runner if it accepts new work."""
        runners = self.runners_of(service)
        return next((r for r in runners if r.runner_id == runner_id), None)

    def may_use(self, address: Address) -> bool:
        """Return whether a runner that accepts new work is listed at an address."""
        if self._addressed_fleet is not self.view.fleet:
            self._addressed_fleet = self.view.fleet
            self._runners_by_address = {
                runner.address: runner for runner in self.view.fleet.live_runners()
            }
        runner = self._runners_by_address.get(address)
        if runner is None:
            return False
        return self.find_runner(runner.service, runner.runner_id) is not None

    def runner_addresses(self) -> list[Address]:
        """Return the addresses of all runners that are listed."""
        return [runner.address for runner in self.view.fleet.runners_by_id.values()]

    def has_engines(self, service: ServiceName) -> bool:
        """Return whether the runners of a service are engines, which have reports."""
        spec = self.table.services_by_name.get(service)
        return spec is not None and spec.engine is not None

    def entries_since(self, runner_id: RunnerId, at_s: float) -> list[Runner]:
        """Return the entries that a runner has had since a time, the present one last.

        Parameters
        ----------
        runner_id : str
            The runner.
        at_s : float
            The time on the ``Timers`` clock.
        """
        entries = self._former_entries.since(runner_id, at_s, self._timers.now())
        listed = self.view.fleet.runners_by_id.get(runner_id)
        return entries if listed is None else [*entries, listed]

    def latest_wall_s(self) -> float:
        """Return the Unix time by this host's clock or a later one by its runners'.

        The clock of a host may be set back; a process was not started in the future.
        """
        now_s = self._timers.now()
        self._observe_wall(self._timers.wall())
        return now_s + self._max_wall_offset_s

    def _observe_wall(self, wall_s: float) -> None:
        offset_s = wall_s - self._timers.now()
        self._max_wall_offset_s = max(self._max_wall_offset_s, offset_s)

    def leaving_notices(self, service: ServiceName) -> tuple[LeavingNotice, ...]:
        """Return what this host knows of a service's runners that leave."""
        runners = self._live_runners_of(service)
        return self.leaving.notices(runners, self._timers.now())

    def record_leaving(self, notices: Iterable[LeavingNotice]) -> None:
        """Record what another host knows of runners that leave."""
        runners_by_id = self.view.fleet.runners_by_id
        self.leaving.record_notices(notices, runners_by_id, self._timers.now())

    def _live_runners_of(self, service: ServiceName) -> list[Runner]:
        if self._indexed_fleet is not self.view.fleet:
            self._indexed_fleet = self.view.fleet
            self._live_runners_by_service = {}
            for runner in self.view.fleet.live_runners():
                self._live_runners_by_service.setdefault(runner.service, []).append(
                    runner
                )
        return self._live_runners_by_service.get(service, [])

    # Routes

    def apply_configurations(self, objects: tuple[PlatformObject, ...]) -> None:
        """Apply the configuration among the stored objects."""
        for stored in objects:
            self._apply_configuration(stored)

    def apply_configuration_change(self, change: ObjectChange) -> None:
        """Apply a change of the configuration; a removal is ignored."""
        if not change.is_removed:
            self._apply_configuration(change.object)

    def _apply_configuration(self, stored: PlatformObject) -> None:
        if stored.name != CONFIGURATION_NAME:
            return
        try:
            table = decode_configuration(stored)
        except FindingError as error:
            logger.error("configuration invalid", extra={"error": str(error)})
            return
        if table.version <= self.table.version:
            return
        extra = {
            "version": table.version,
            "former_version": self.table.version,
            "n_workspaces": len(table.workspaces_by_name),
            "n_keys": len(table.keys.workspaces_by_digest),
        }
        logger.info("configuration in force", extra=extra)
        self.table = table
        self.view.apply_configuration(Configuration(revision=table.version))

    # Runners

    def replace_runners(self, objects: tuple[PlatformObject, ...]) -> None:
        """Replace all runners by the stored entries."""
        names = {stored.name for stored in objects}
        for runner_id in list(self._runners_by_id):
            if runner_id not in names:
                self._remove_or_defer(runner_id)
        for stored in objects:
            self._record_runner(stored)
        self._publish_runners()

    def apply_runner_change(self, change: ObjectChange) -> None:
        """Apply a change of one runner's entry."""
        if change.is_removed:
            self._remove_or_defer(change.object.name)
        else:
            self._record_runner(change.object)
        self._publish_runners()

    def _record_runner(self, stored: PlatformObject) -> None:
        self._cancel_removal(stored.name)
        try:
            runner = decode_runner(stored, self._regions_by_data_centre)
        except FindingError as error:
            logger.warning("runner's entry invalid", extra={"error": str(error)})
            self._record_former(stored.name, None)
            self._runners_by_id.pop(stored.name, None)
            return
        known = self._runners_by_id.get(runner.runner_id)
        if known == runner:
            return
        self._record_former(runner.runner_id, runner)
        self._observe_wall(runner.born_ms * MILLISECOND_S)
        self._runners_by_id[runner.runner_id] = runner
        extra = {
            "runner": runner.runner_id,
            "service": runner.service,
            "state": runner.state.value,
            "revision": stored.revision,
        }
        logger.info("runner known" if known is None else "runner changed", extra=extra)

    def _record_former(self, runner_id: RunnerId, current: Runner | None) -> None:
        former = self._runners_by_id.get(runner_id)
        if former is not None:
            self._former_entries.record(former, current, self._timers.now())

    def _remove_or_defer(self, runner_id: RunnerId) -> None:
        """Remove a runner, unless its entry may have expired in an outage of the store.

        It is then kept for as long as the runner may still write its entry again.
        """
        if runner_id not in self._runners_by_id or runner_id in self._removals_by_id:
            return
        is_leaving = self._runners_by_id[runner_id].state is HostState.LEAVING
        if is_leaving or not self._defer_removal(runner_id):
            self._remove_runner(runner_id)

    def _defer_removal(self, runner_id: RunnerId) -> bool:
        """Defer a removal if the entry may be written again; return whether it may."""
        delay_s = self._contact.expired_until_s() - self._timers.now()
        if delay_s <= 0:
            return False
        extra = {"runner": runner_id, "kept_s": round(delay_s, 3)}
        logger.info("runner's entry may have expired", extra=extra)
        self._removals_by_id[runner_id] = self._timers.once(
            delay_s, lambda: self._finish_removal(runner_id)
        )
        return True

    def _finish_removal(self, runner_id: RunnerId) -> None:
        """Remove a runner whose time is up, unless the store is away once more."""
        del self._removals_by_id[runner_id]
        if not self._defer_removal(runner_id):
            self._remove_runner(runner_id)
            self._publish_runners()

    def _cancel_removal(self, runner_id: RunnerId) -> None:
        removal = self._removals_by_id.pop(runner_id, None)
        if removal is not None:
            removal.cancel()

    def _remove_runner(self, runner_id: RunnerId) -> None:
        self._record_former(runner_id, None)
        runner = self._runners_by_id.pop(runner_id, None)
        if runner is not None:
            self.leaving.forget_entry(runner)
            logger.info("runner gone", extra={"runner": runner_id})

    def _publish_runners(self) -> None:
        self.view.apply_runners(self._runners_by_id.values())
