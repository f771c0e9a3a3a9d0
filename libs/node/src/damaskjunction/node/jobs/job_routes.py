"""HTTP routes through which callers submit, follow and cancel batch jobs."""

from __future__ import annotations

from typing import Any

from damaskjunction.batch import (
    MAX_JOB_ITEMS,
    Chunk,
    ChunkState,
    Forecast,
    JobDocument,
    JobProgress,
    JobState,
    KeyInUseError,
    ResultDocument,
    SegmentDocument,
    check_resubmission,
    chunk_end_indices,
    chunk_number,
    decode,
    derive_job_id,
    forecast_job,
    make_job,
)
from damaskjunction.core import (
    ConflictError,
    FindingsError,
    JobId,
    PlatformError,
    PlatformUnknownError,
    ServiceKind,
    Timers,
    WorkspaceName,
)
from damaskjunction.http import HttpError, Request, Response, Routes, to_json_response
from damaskjunction.node.documents import JOB_KIND, QUEUE_KIND, SEGMENT_KIND
from damaskjunction.node.jobs.job_cancel import JobCanceller
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.jobs.job_upload import (
    Upload,
    delete_markers,
    digest_body,
    renew_markers,
)
from damaskjunction.node.jobs.peak_budget import PeakBudget
from damaskjunction.node.serving.caller_routes import authenticate
from damaskjunction.node.state import HostView

DEFAULT_DEADLINE_S = 8 * 3600.0
MAX_DEADLINE_S = 30 * 24 * 3600.0
DEFAULT_RESULTS_PER_PAGE = 1000
MAX_RESULTS_PER_PAGE = 10_000
MAX_PARTS = 1000
JOBS_PER_PAGE = 100


class JobRoutes:
    """HTTP routes for batch jobs.

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
        routes.register("POST", "/v1/jobs")(self.submit)
        routes.register("PUT", "/v1/jobs/parts/{part}")(self.upload_part)
        routes.register("GET", "/v1/jobs")(self.list_jobs)
        routes.register("GET", "/v1/jobs/{job}")(self.show)
        routes.register("GET", "/v1/jobs/{job}/results")(self.results)
        routes.register("DELETE", "/v1/jobs/{job}")(self.cancel)

    async def submit(self, request: Request) -> Response:
        """Accept a job of JSON lines, or return the existing job of the same key.

        With ``parts=N`` the job consists of the previously uploaded parts 0 to N-1.
        """
        workspace, service, key = self._identify_submission(request)
        deadline_s = read_number(
            request, "deadline_s", DEFAULT_DEADLINE_S, MAX_DEADLINE_S
        )
        job_id = derive_job_id(workspace, service, key)
        n_parts = int(read_number(request, "parts", 0, MAX_PARTS))
        upload = Upload(self._store, job_id, workspace)
        try:
            stored = await self._store.get_job(job_id)
            segments = await self._read_segments(request, upload, n_parts, stored)
        except (FindingsError, PlatformError) as error:
            await upload.discard()
            raise _submission_error(error) from None
        job = make_job(
            workspace,
            service,
            key,
            segments,
            accepted_at=self._timers.wall(),
            deadline_s=deadline_s,
        )
        if stored is None:
            stored = await self._store_job(job, upload)
        if stored is None:
            return to_json_response(job, status=201)
        try:
            return to_json_response(check_resubmission(stored, job["digest"]))
        except KeyInUseError as error:
            raise _submission_error(error) from None

    async def _read_segments(
        self,
        request: Request,
        upload: Upload,
        n_parts: int,
        stored: JobDocument | None,
    ) -> list[SegmentDocument]:
        if n_parts:
            return await self._read_parts(upload.job_id, n_parts)
        if stored is not None:
            return [await digest_body(request.body)]
        return [await upload.store(request.body)]

    async def _store_job(self, job: JobDocument, upload: Upload) -> JobDocument | None:
        """Store the record; return the one another submission stored first, if any."""
        if job["n_items"] > MAX_JOB_ITEMS:
            detail = f"expected at most {MAX_JOB_ITEMS} items, got {job['n_items']}"
            raise HttpError(422, "findings", findings=[detail])
        try:
            await self._enqueue(job)
        except PlatformError as error:
            await upload.discard()
            raise _submission_error(error) from None
        try:
            await self._store.put(JOB_KIND, job["job_id"], job)
        except ConflictError as error:
            await upload.discard()
            stored: JobDocument = decode(error.value)
            return stored
        except PlatformUnknownError as error:
            detail = f"submit the job again with the same key: {error}"
            raise HttpError(504, "acceptance_unknown", detail) from None
        except PlatformError as error:
            await upload.discard()
            raise _submission_error(error) from None
        await delete_markers(self._store, job)
        return None

    async def _enqueue(self, job: JobDocument) -> None:
        await renew_markers(self._store, job["segments"])
        try:
            await self._store.put(QUEUE_KIND, job["job_id"], {})
        except ConflictError:
            return  # another submission of this job has queued it

    async def upload_part(self, request: Request, part: str) -> Response:
        """Store one part of a job's items, replacing an earlier upload of this part."""
        workspace, service, key = self._identify_submission(request)
        if not part.isdigit() or int(part) >= MAX_PARTS:
            raise HttpError(
                400, "bad_request", f"expected a part number below {MAX_PARTS}"
            )
        job_id = derive_job_id(workspace, service, key)
        upload = Upload(self._store, job_id, workspace)
        name = segment_name(job_id, int(part))
        try:
            if await self._store.get_job(job_id) is not None:
                raise KeyInUseError(f"job {job_id!r} has already been accepted")
            segment = await upload.store(request.body)
            previous = await self._store.get(SEGMENT_KIND, name)
            version = previous.version if previous is not None else 0
            await self._store.put(SEGMENT_KIND, name, segment, expected_version=version)
        except (FindingsError, KeyInUseError, PlatformError) as error:
            await upload.discard()
            raise _submission_error(error) from None
        document = {"part": int(part), "n_items": segment["n_items"]}
        return to_json_response(document, status=201)

    async def _read_parts(self, job_id: JobId, n_parts: int) -> list[SegmentDocument]:
        segments = []
        for part in range(n_parts):
            stored = await self._store.get(SEGMENT_KIND, segment_name(job_id, part))
            if stored is None:
                raise HttpError(
                    409, "part_missing", f"part {part} has not been uploaded"
                )
            segments.append(decode(stored.value))
        return segments

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

    def _identify_submission(self, request: Request) -> tuple[WorkspaceName, str, str]:
        """Return the workspace, service and idempotency key of a submission."""
        workspace = authenticate(self._view, request)
        service = request.query.get("service", "")
        key = request.query.get("key", "")
        spec = self._view.configuration.services_by_name.get(service)
        if spec is None or spec.kind is not ServiceKind.ENGINE or not key:
            raise HttpError(
                400, "bad_request", "expected an engine service and a key in the query"
            )
        return workspace, service, key


def segment_name(job_id: JobId, part: int) -> str:
    """Return the name of the stored segment of a part of a job."""
    return f"{job_id}.{part:05d}"


def read_number(
    request: Request, key: str, default: float, maximum: float, *, minimum: float = 0
) -> float:
    """Return a numeric parameter of the query.

    Raises
    ------
    HttpError
        With status 400 when it is not a number or out of range.
    """
    text = request.query.get(key)
    try:
        value = default if text is None else float(text)
    except ValueError:
        value = float("nan")
    if not minimum <= value <= maximum:
        detail = f"expected {minimum:g} to {maximum:g}, got {text!r:.40}"
        raise HttpError(400, "bad_request", detail, key=key)
    return value


def _unavailable_error(error: PlatformError) -> HttpError:
    return HttpError(503, "platform_unavailable", str(error))


def _submission_error(error: Exception) -> HttpError:
    """Return the HTTP error for a submission that was not accepted."""
    match error:
        case FindingsError():
            findings = [str(finding) for finding in error.findings]
            return HttpError(422, "findings", findings=findings)
        case KeyInUseError():
            return HttpError(409, "key_in_use", str(error))
    return HttpError(503, "not_accepted", str(error))
