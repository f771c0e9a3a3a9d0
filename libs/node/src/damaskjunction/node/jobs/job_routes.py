"""HTTP routes through which callers follow and cancel batch jobs."""

from __future__ import annotations

from typing import Any

from damaskjunction.batch import (
    Chunk,
    ChunkState,
    Forecast,
    JobDocument,
    JobProgress,
    JobState,
    ResultDocument,
    chunk_end_indices,
    chunk_number,
    decode,
    forecast_job,
)
from damaskjunction.core import (
    PlatformError,
    PlatformUnknownError,
    Timers,
)
from damaskjunction.http import HttpError, Request, Response, Routes, to_json_response
from damaskjunction.node.documents import JOB_KIND
from damaskjunction.node.jobs.job_cancel import JobCanceller
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.jobs.peak_budget import PeakBudget
from damaskjunction.node.jobs.query_parameters import read_number
from damaskjunction.node.serving.caller_routes import authenticate
from damaskjunction.node.state import HostView

DEFAULT_RESULTS_PER_PAGE = 1000
MAX_RESULTS_PER_PAGE = 10_000
JOBS_PER_PAGE = 100


class JobRoutes:
    """HTTP routes for accepted batch jobs.

    Parameters
    ----------
    view : HostView
        Services, workspaces and limits.
    store : JobStore
        Stored jobs.
    canceller : JobCanceller
        Cancels jobs.
    peak : PeakBudget
        Tells whether the budget of the current minute is exhausted.
    timers : Timers
        The process's timer service.
    """

    def __init__(
        self,
        view: HostView,
        store: JobStore,
        canceller: JobCanceller,
        peak: PeakBudget,
        timers: Timers,
    ) -> None:
        self._view = view
        self._store = store
        self._canceller = canceller
        self._peak = peak
        self._timers = timers

    def register(self, routes: Routes) -> None:
        """Register the routes."""
        routes.register("GET", "/v1/jobs")(self.list_jobs)
        routes.register("GET", "/v1/jobs/{job}")(self.show)
        routes.register("GET", "/v1/jobs/{job}/results")(self.results)
        routes.register("DELETE", "/v1/jobs/{job}")(self.cancel)

    async def list_jobs(self, request: Request) -> Response:
        """Return a page of the workspace's jobs, ordered by id."""
        workspace = authenticate(self._view, request)
        after = request.query.get("after", "")
        jobs: list[JobDocument] = []
        last = ""
        try:
            async for stored in self._store.list_kind(JOB_KIND, after=after):
                if len(jobs) == JOBS_PER_PAGE:
                    break
                job: JobDocument = decode(stored.value)
                last = stored.name
                if job["workspace"] == workspace:
                    jobs.append(job)
            else:
                last = ""
        except PlatformError as error:
            raise _unavailable_error(error) from None
        return to_json_response({"jobs": jobs, "after": last})

    async def show(self, request: Request, job: str) -> Response:
        """Return a job's progress and the forecast for its deadline."""
        document = await self._get_job(request, job)
        try:
            chunks = await self._store.list_chunks(document)
        except PlatformError as error:
            raise _unavailable_error(error) from None
        n_done = sum(chunk.n_done for chunk in chunks.values())
        n_failed = sum(chunk.n_failed for chunk in chunks.values())
        state = document["state"]
        if all(chunk.state is ChunkState.DONE for chunk in chunks.values()):
            state = JobState.COMPLETE.value
        body: dict[str, Any] = {
            **document,
            "state": "running" if state == JobState.OPEN else state,
            "n_done": n_done,
            "n_failed": n_failed,
        }
        if state == JobState.OPEN:
            forecast = self._forecast(document, n_done + n_failed)
            body["forecast"] = forecast._asdict()
        return to_json_response(body)

    def _forecast(self, job: JobDocument, n_finished: int) -> Forecast:
        now_s = self._timers.wall()
        progress = JobProgress(
            n_items=job["n_items"],
            n_finished=n_finished,
            elapsed_s=max(0.0, now_s - job["accepted_at"]),
            left_s=job["deadline_at"] - now_s,
            has_runners=bool(self._view.runners_of(job["service"])),
            is_budget_spent=self._peak.is_spent,
        )
        return forecast_job(progress)

    async def results(self, request: Request, job: str) -> Response:
        """Return a page of results, ordered by item.

        While the job runs, a page ends before the first chunk that is not done; a
        later request with the returned ``after`` continues from there.
        """
        document = await self._get_job(request, job)
        after = int(read_number(request, "after", -1, document["n_items"], minimum=-1))
        limit = int(
            read_number(
                request, "limit", DEFAULT_RESULTS_PER_PAGE, MAX_RESULTS_PER_PAGE
            )
        )
        try:
            chunks = await self._store.list_chunks(document)
            results, is_end = await self._read_results(document, chunks, after, limit)
        except PlatformError as error:
            raise _unavailable_error(error) from None
        last = results[-1]["index"] if results else after
        return to_json_response({"results": results, "after": last, "is_end": is_end})

    async def _read_results(
        self, job: JobDocument, chunks: dict[str, Chunk], after: int, limit: int
    ) -> tuple[list[ResultDocument], bool]:
        results: list[ResultDocument] = []
        is_open = job["state"] == JobState.OPEN
        end_indices = chunk_end_indices(job)
        for name in sorted(chunks):
            if end_indices[chunk_number(name)] <= after + 1:
                continue
            if is_open and chunks[name].state is not ChunkState.DONE:
                return results, False
            chunk_results = await self._store.get_results(chunks[name])
            results += [result for result in chunk_results if result["index"] > after]
            if len(results) > limit:
                return results[:limit], False
        return results, True

    async def cancel(self, request: Request, job: str) -> Response:
        """Cancel a job; the status is 202 while a host may still run items of it."""
        document = await self._get_job(request, job)
        try:
            latest, has_ended = await self._canceller.cancel(document["job_id"])
        except PlatformUnknownError as error:
            raise HttpError(504, "cancellation_unknown", str(error)) from None
        except PlatformError as error:
            raise HttpError(503, "not_cancelled", str(error)) from None
        if not has_ended:
            body = {**latest, "state": "cancelling"}
            return to_json_response(body, status=202, headers={"Retry-After": "5"})
        if latest["state"] == JobState.COMPLETE:
            raise HttpError(409, "already_complete", f"job {job!r} is complete")
        return to_json_response(latest)

    async def _get_job(self, request: Request, job: str) -> JobDocument:
        workspace = authenticate(self._view, request)
        try:
            document = await self._store.get_job(job)
        except PlatformError as error:
            raise _unavailable_error(error) from None
        if document is None or document["workspace"] != workspace:
            raise HttpError(404, "no_such_job", f"no job {job!r} in this workspace")
        return document


def _unavailable_error(error: PlatformError) -> HttpError:
    return HttpError(503, "platform_unavailable", str(error))
