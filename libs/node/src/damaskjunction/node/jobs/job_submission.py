"""HTTP routes through which callers submit batch jobs, whole or in parts."""

from __future__ import annotations

from damaskjunction.batch import (
    MAX_JOB_ITEMS,
    JobDocument,
    KeyInUseError,
    SegmentDocument,
    check_resubmission,
    decode,
    derive_job_id,
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
from damaskjunction.node.jobs.job_store import JobStore
from damaskjunction.node.jobs.job_upload import (
    Upload,
    delete_markers,
    digest_body,
    renew_markers,
)
from damaskjunction.node.jobs.query_parameters import read_number
from damaskjunction.node.serving.caller_routes import authenticate
from damaskjunction.node.state import HostView

DEFAULT_DEADLINE_S = 8 * 3600.0
MAX_DEADLINE_S = 30 * 24 * 3600.0
MAX_PARTS = 1000


class SubmissionRoutes:
    """HTTP routes for the submission of batch jobs.

    Parameters
    ----------
    view : HostView
        Services and workspaces.
    store : JobStore
        Stored jobs.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, view: HostView, store: JobStore, timers: Timers) -> None:
        self._view = view
        self._store = store
        self._timers = timers

    def register(self, routes: Routes) -> None:
        """Register the routes."""
        routes.register("POST", "/v1/jobs")(self.submit)
        routes.register("PUT", "/v1/jobs/parts/{part}")(self.upload_part)

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


def _submission_error(error: Exception) -> HttpError:
    """Return the HTTP error for a submission that was not accepted."""
    match error:
        case FindingsError():
            findings = [str(finding) for finding in error.findings]
            return HttpError(422, "findings", findings=findings)
        case KeyInUseError():
            return HttpError(409, "key_in_use", str(error))
    return HttpError(503, "not_accepted", str(error))
