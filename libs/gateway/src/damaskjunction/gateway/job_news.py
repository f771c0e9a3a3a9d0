"""Word between hosts that a batch job was ended, ahead of the store's own news."""

from __future__ import annotations

import asyncio
import logging

from damaskjunction.core import JobId, Outcome, PlatformError, RequestError
from damaskjunction.gateway.job_book import JobBook, KnownJob
from damaskjunction.node import HostView, PeerHandlers
from damaskjunction.wire import JobStopped, PeerLinks, Reply, StopJob

logger = logging.getLogger(__name__)

LANE = "batch"
TELL_TIMEOUT_S = 0.4


class JobNews:
    """Tells the owner of a job that it was ended.

    Parameters
    ----------
    book : JobBook
        Jobs and results.
    view : HostView
        The hosts.
    links : PeerLinks
        Links to them.
    """

    def __init__(self, book: JobBook, view: HostView, links: PeerLinks) -> None:
        self._book = book
        self._view = view
        self._links = links

    def register(self, handlers: PeerHandlers) -> None:
        """Take the word of other hosts."""
        handlers.register(StopJob)(self._take)

    async def tell(self, job: KnownJob) -> None:
        """Tell the owner of an ended job; one that isn't reached hears by its watch."""
        host = self._view.fleet.hosts_by_id.get(job.owner)
        if host is None or host.host_id == self._view.own.host_id:
            return
        job_id: JobId = job.record.job_id
        try:
            async with asyncio.timeout(TELL_TIMEOUT_S):
                await self._links.ask(host.peer, LANE, StopJob(job_id))
        except (RequestError, TimeoutError) as error:
            extra = {"job": job_id, "host": host.host_id, "error": repr(error)}
            logger.info("owner not told of the end", extra=extra)

    async def _take(self, word: StopJob, reply: Reply) -> None:
        """Look at the job in the store, whose mark ends all work on it."""
        try:
            await self._book.reread(word.job_id)
        except PlatformError as error:
            raise RequestError(Outcome.UNKNOWN, "store_lost", str(error)) from None
        await reply(JobStopped(word.job_id))
