"""The documents that a host replicates: kept, announced, and applied to its view."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable

from damaskjunction.core import FindingsError, Runner, Timers
from damaskjunction.membership import DocumentKey, DocumentReplicas, HeldDocument
from damaskjunction.node.documents import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    HOSTS_KIND,
    HOSTS_NAME,
    PLAN_KIND,
)
from damaskjunction.node.membership.membership import Membership
from damaskjunction.node.slices import run_in_slices
from damaskjunction.node.state import HostView
from damaskjunction.node.tasks import TaskSet
from damaskjunction.placement import plan_from_document
from damaskjunction.platform import decode_host_list
from damaskjunction.settings import read_configuration_in_slices

logger = logging.getLogger(__name__)

CONFIGURATION_KEY = DocumentKey(CONFIGURATION_KIND, CONFIGURATION_NAME)
HOSTS_KEY = DocumentKey(HOSTS_KIND, HOSTS_NAME)


class ReplicatedDocuments:
    """Keeps the newest configuration, plan and host list, and applies each to the view.

    Parameters
    ----------
    view : HostView
        Updated with each newer document.
    membership : Membership
        Announces documents to peers.
    timers : Timers
        Timer service of this process.
    """

    def __init__(self, view: HostView, membership: Membership, timers: Timers) -> None:
        self._view = view
        self._membership = membership
        self._timers = timers
        self.plan_key = DocumentKey(PLAN_KIND, view.own.region)
        self.replicas = DocumentReplicas((CONFIGURATION_KEY, self.plan_key, HOSTS_KEY))
        self._handlers_by_kind: dict[str, Callable[[HeldDocument], None]] = {
            CONFIGURATION_KIND: self._apply_configuration,
            PLAN_KIND: self._apply_plan,
            HOSTS_KIND: self._apply_host_list,
        }
        self._confirmed_at_s = 0.0
        self._tasks = TaskSet()

    async def close(self) -> None:
        """Cancel the loading of configurations."""
        await self._tasks.close()

    def put(self, key: DocumentKey, document: HeldDocument) -> None:
        """Record a document of the platform; publish it if it is newer."""
        if self.replicas.put(key, document):
            self.publish(key)

    def publish(self, key: DocumentKey) -> None:
        """Announce a newer document to peers, then apply it here."""
        self._membership.announce(self.replicas.revisions())
        asyncio.get_running_loop().call_soon(
            self._handlers_by_kind[key.kind], self.replicas.held(key)
        )

    def confirm(self) -> None:
        """Record that the configuration is current now."""
        self._confirmed_at_s = self._timers.now()

    def unconfirmed_s(self) -> float:
        """Return the seconds since the configuration was last confirmed as current.

        The platform or a peer with the same or a higher revision confirms it.
        """
        return self._timers.now() - self._confirmed_at_s

    def _apply_configuration(self, document: HeldDocument) -> None:
        if document.revision > self._view.configuration.revision:
            self._tasks.begin(self._load_configuration(document))

    async def _load_configuration(self, document: HeldDocument) -> None:
        """Parse and apply a configuration, yielding to the loop between slices."""
        try:
            slices = read_configuration_in_slices(
                document.body.decode(), CONFIGURATION_NAME, document.revision
            )
            configuration = await run_in_slices(slices)
        except (FindingsError, UnicodeDecodeError) as error:
            logger.error("stored configuration is invalid", extra={"error": str(error)})
            return
        if self._view.apply_configuration(configuration):
            extra = {"revision": configuration.revision}
            logger.info("configuration in force", extra=extra)

    def _apply_plan(self, document: HeldDocument) -> None:
        plan = plan_from_document(json.loads(document.body), document.revision)
        self._view.apply_plan(plan)

    def _apply_host_list(self, document: HeldDocument) -> None:
        hosts = decode_host_list(document.body)
        runners: tuple[Runner, ...] = hosts.runners
        self._view.apply_runners(runners)
        self._membership.apply_host_list(hosts.hosts)
        self._view.record_listed_state(hosts.hosts)
