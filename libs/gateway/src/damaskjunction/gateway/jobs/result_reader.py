"""Reads the results of a batch job from the host that runs it, or from the store."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import NamedTuple

from damaskjunction.batch import ItemResult, take_page
from damaskjunction.core import Outcome, RequestError, Timers, parse_json
from damaskjunction.gateway.jobs.job_repository import JobRepository, StoredJob
from damaskjunction.gateway.jobs.job_worker import JobWorker
from damaskjunction.node import HostView, PeerHandlers
from damaskjunction.platform import (
    MAX_PAGE_BYTES,
    decode_result_list,
    encode_result_list,
)
from damaskjunction.wire import PeerLinks, Reply, ResultsAsk, ResultsHeard

logger = logging.getLogger(__name__)

LANE = "batch"
POLL_INTERVAL_S = 0.1
WRITE_WAIT_S = 0.2  # for a write under way, before the store is read instead
RESPONSE_MARGIN_S = 0.4


class _Page(NamedTuple):
    """Results from a position on, and where this host had them from."""

    results: tuple[ItemResult, ...]
    source: str


class ResultReader:
    """Reads results; returns only results that are already stored.

    Parameters
    ----------
    job_repository : JobRepository
        Jobs and their results.
    worker : JobWorker
        Runs the jobs that this host owns.
    view : HostView
        The known hosts.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    """

    def __init__(
        self,
        job_repository: JobRepository,
        worker: JobWorker,
        view: HostView,
        links: PeerLinks,
        timers: Timers,
    ) -> None:
        self._jobs = job_repository
        self._worker = worker
        self._view = view
        self._links = links
        self._timers = timers

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handler of other hosts' queries for results."""
        handlers.register(ResultsAsk)(self._serve)

    async def read(
        self, job: StoredJob, after: int, wait_s: float
    ) -> tuple[ItemResult, ...]:
        """Return results from a position on, waiting up to ``wait_s`` for one.

        Raises
        ------
        PlatformUnavailableError
            When neither the job's owner nor the store responded.
        """
        page = await self._read_page(job, after, wait_s)
        if not page.results and after < len(job.record.item_ids):
            extra = {
                "job": job.record.job_id,
                "after": after,
                "source": page.source,
                "owner": job.owner,
            }
            logger.info("no results yet", extra=extra)
        return page.results

    async def _read_page(self, job: StoredJob, after: int, wait_s: float) -> _Page:
        job_id = job.record.job_id
        deadline_at_s = self._timers.now() + wait_s
        if self._collects_results(job):
            results = await self._wait_for_results(job, after, wait_s)
            if results or self._has_current_results(job):
                return _Page(results, "own")
            wait_s = max(0.0, deadline_at_s - self._timers.now())
        results = self._jobs.results.cached(job_id)[after:]
        if results or after >= len(job.record.item_ids):
            return _Page(results, "cache")
        received = await self._query_owner(job, after, wait_s)
        if received is not None:
            return _Page(received, "owner")
        await self._jobs.results.read(job_id)
        remaining_s = deadline_at_s - self._timers.now()
        if not self._jobs.results.cached(job_id)[after:] and remaining_s > 0:
            await asyncio.sleep(remaining_s)
            await self._jobs.results.read(job_id)
        return _Page(self._jobs.results.cached(job_id)[after:], "store")

    async def _wait_for_results(
        self, job: StoredJob, after: int, wait_s: float
    ) -> tuple[ItemResult, ...]:
        """Wait for results of a job whose results are collected here.

        A write under way is waited for a little longer. Without any results then, the
        cache may lack some of the stored ones.
        """
        job_id = job.record.job_id
        deadline_at_s = self._timers.now() + wait_s
        while True:
            results = self._jobs.results.cached(job_id)[after:]
            remaining_s = deadline_at_s - self._timers.now()
            if not self._jobs.results.is_settled(job_id):
                remaining_s += WRITE_WAIT_S
            is_over = remaining_s <= 0 or not self._collects_results(job)
            if results or is_over or after >= len(job.record.item_ids):
                return results
            await asyncio.sleep(min(POLL_INTERVAL_S, remaining_s))

    async def _query_owner(
        self, job: StoredJob, after: int, wait_s: float
    ) -> tuple[ItemResult, ...] | None:
        """Return results from the job's owner, None when it gives no valid response."""
        host = self._view.fleet.hosts_by_id.get(job.owner)
        if host is None or host.host_id == self._view.own.host_id:
            return None
        query = ResultsAsk(job.record.job_id, after, wait_s)
        try:
            async with asyncio.timeout(wait_s + RESPONSE_MARGIN_S):
                response = await self._links.ask(host.peer, LANE, query)
            if not isinstance(response, ResultsHeard):
                raise RequestError(Outcome.UNKNOWN, "bad_reply", repr(response))
            return decode_result_list(parse_json(response.entries))
        except (RequestError, TimeoutError, ValueError) as error:
            extra = {"job": job.record.job_id, "host": job.owner, "error": repr(error)}
            logger.info("no results from owner", extra=extra)
            return None

    def _collects_results(self, job: StoredJob) -> bool:
        """Return whether all results of a job are, or will be, cached here."""
        return self._worker.collects_results(job.record.job_id) or self._is_full(job)

    def _has_current_results(self, job: StoredJob) -> bool:
        """Return whether all stored results of a job are cached here."""
        return self._worker.has_current_results(job.record.job_id) or self._is_full(job)

    def _is_full(self, job: StoredJob) -> bool:
        n_cached = len(self._jobs.results.cached(job.record.job_id))
        return n_cached == len(job.record.item_ids)

    async def _serve(self, query: ResultsAsk, reply: Reply) -> None:
        job = self._jobs.jobs_by_id.get(query.job_id)
        n_cached = len(self._jobs.results.cached(query.job_id))
        if job is None or not self._collects_results(job) or query.after > n_cached:
            raise RequestError(Outcome.NOT_RUN, "not_known_here")
        results = await self._wait_for_results(job, query.after, query.wait_s)
        if not results and not self._has_current_results(job):
            raise RequestError(Outcome.NOT_RUN, "not_known_here")
        page = take_page(results, MAX_PAGE_BYTES)
        await reply(ResultsHeard(json.dumps(encode_result_list(page)).encode()))
