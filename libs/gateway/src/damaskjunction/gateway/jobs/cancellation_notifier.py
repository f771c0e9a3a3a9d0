"""Announcements between hosts that a batch job was cancelled.

They reach the job's owner sooner than the change feed of the store does.
"""

from __future__ import annotations

import asyncio
import logging

from damaskjunction.core import JobId, Outcome, PlatformError, RequestError
from damaskjunction.gateway.jobs.job_repository import JobRepository, StoredJob
from damaskjunction.node import HostView, PeerHandlers
from damaskjunction.wire import JobStopped, PeerLinks, Reply, StopJob

logger = logging.getLogger(__name__)

LANE = "batch"
ANNOUNCE_TIMEOUT_S = 0.4


class CancellationNotifier:
    """Announces to the owner of a job that the job was cancelled.

    Parameters
    ----------
    job_repository : JobRepository
        Jobs and their results.
    view : HostView
        The known hosts.
    links : PeerLinks
        Links to other hosts.
    """

    def __init__(
        self, job_repository: JobRepository, view: HostView, links: PeerLinks
    ) -> None:
        self._jobs = job_repository
        self._view = view
        self._links = links

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handler of other hosts' announcements."""
        handlers.register(StopJob)(self._handle)

    async def announce(self, job: StoredJob) -> None:
        """Announce a cancelled job to its owner.

        A failure is only logged: the change feed brings the owner the cancellation too.
        """
        host = self._view.fleet.hosts_by_id.get(job.owner)
        if host is None or host.host_id == self._view.own.host_id:
            return
        job_id: JobId = job.record.job_id
        try:
            async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                await self._links.ask(host.peer, LANE, StopJob(job_id))
        except (RequestError, TimeoutError) as error:
            extra = {"job": job_id, "host": host.host_id, "error": repr(error)}
            logger.info("cancellation not announced to owner", extra=extra)

    async def _handle(self, message: StopJob, reply: Reply) -> None:
        """Refresh the job from the store; its status there ends all work on it."""
        try:
            await self._jobs.refresh(message.job_id)
        except PlatformError as error:
            raise RequestError(Outcome.UNKNOWN, "store_lost", str(error)) from None
        await reply(JobStopped(message.job_id))
