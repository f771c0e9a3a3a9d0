"""Batch jobs of one host: the callers' routes and the worker."""

from __future__ import annotations

import asyncio
import hashlib
import json
import logging
import uuid
from collections.abc import Sequence
from typing import Any

from damaskjunction.batch import (
    MAX_JOB_ITEMS,
    ItemDocument,
    JobDocument,
    ResultDocument,
    chunk_name,
    job_id_of,
    split_items,
)
from damaskjunction.core import (
    ConflictError,
    JobId,
    PlatformError,
    RequestError,
    ServiceKind,
    Timers,
    WorkClass,
)
from damaskjunction.http import (
    HttpError,
    Request,
    Response,
    Routes,
    to_json_response,
)
from damaskjunction.node.documents import (
    CLAIM_KIND,
    ITEMS_KIND,
    JOB_KIND,
    RESULTS_KIND,
)
from damaskjunction.node.entry import CallerRequest, Entry
from damaskjunction.node.front import (
    ENGINE_PATH,
    JSON_TYPE,
    authenticate,
    check_prompt,
)
from damaskjunction.node.state import HostView
from damaskjunction.platform import ObjectStore
from damaskjunction.routing import Token

logger = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 8 * 3600.0
WORK_INTERVAL_S = 0.3
ITEM_TIMEOUT_S = 60.0
ITEMS_AT_ONCE = 8


class JobFront:
    """The callers' routes for batch jobs."""

    def __init__(self, view: HostView, store: ObjectStore, timers: Timers) -> None:
        self._view = view
        self._store = store
        self._timers = timers

    def register(self, routes: Routes) -> None:
        """Enter the routes."""
        routes.register("POST", "/v1/jobs")(self.submit)
        routes.register("GET", "/v1/jobs/{job}")(self.show)
        routes.register("GET", "/v1/jobs/{job}/results")(self.results)

    async def submit(self, request: Request) -> Response:
        """Accept a job of JSON lines; a resend under the same key finds the job."""
        workspace = authenticate(self._view, request)
        service = request.query.get("service", "")
        key = request.query.get("key", "")
        spec = self._view.configuration.services_by_name.get(service)
        if spec is None or spec.kind is not ServiceKind.ENGINE or not key:
            raise HttpError(400, "bad_request", "name a service and a key")
        body = await request.body.read()
        items = parse_items(body)
        job_id = job_id_of(workspace, service, key)
        deadline_s = float(request.query.get("deadline_s", DEFAULT_DEADLINE_S))
        chunks = list(split_items(items))
        document: JobDocument = {
            "job_id": job_id,
            "workspace": workspace,
            "service": service,
            "key": key,
            "n_items": len(items),
            "n_chunks": len(chunks),
            "digest": hashlib.sha256(body).hexdigest(),
            "deadline_at": self._timers.wall() + deadline_s,
            "cancelled": False,
        }
        try:
            for chunk in chunks:
                name = chunk_name(job_id, chunk.number)
                await self._create(ITEMS_KIND, name, chunk.items)
            await self._create(JOB_KIND, job_id, document)
        except PlatformError as error:
            raise HttpError(503, "not_accepted", str(error)) from None
        return to_json_response(document, status=201)

    async def _create(self, kind: str, name: str, document: object) -> None:
        value = json.dumps(document).encode()
        try:
            await self._store.put(
                kind, name, value, expected_version=0, operation_id=uuid.uuid4().hex
            )
        except ConflictError as error:
            stored = json.loads(error.value)
            if kind != JOB_KIND and stored != document:
                raise HttpError(
                    409, "key_in_use", "another body has this key"
                ) from None

    async def show(self, request: Request, job: str) -> Response:
        """Tell how far a job is."""
        document = await self._find(request, job)
        n_done = len(await self._all_results(document))
        state = "complete" if n_done == document["n_items"] else "running"
        return to_json_response({**document, "n_done": n_done, "state": state})

    async def results(self, request: Request, job: str) -> Response:
        """Return the results so far."""
        document = await self._find(request, job)
        return to_json_response({"results": await self._all_results(document)})

    async def _find(self, request: Request, job: str) -> JobDocument:
        workspace = authenticate(self._view, request)
        try:
            stored = await self._store.get(JOB_KIND, job)
        except PlatformError as error:
            raise HttpError(503, "platform_unavailable", str(error)) from None
        document: JobDocument | None = json.loads(stored.value) if stored else None
        if document is None or document["workspace"] != workspace:
            raise HttpError(404, "no_such_job", f"no job {job!r} in this workspace")
        return document

    async def _all_results(self, job: JobDocument) -> list[ResultDocument]:
        results: list[ResultDocument] = []
        after = ""
        while True:
            page = await self._store.list_objects(
                RESULTS_KIND, prefix=f"{job['job_id']}.", after=after
            )
            for stored in page.objects:
                results += json.loads(stored.value)
            after = page.after
            if not after:
                return results


def parse_items(body: bytes) -> list[ItemDocument]:
    """Return the items in JSON lines.

    Raises
    ------
    HttpError
        With status 422 and every finding by line.
    """
    items: list[ItemDocument] = []
    findings = []
    for number, line in enumerate(body.splitlines(), start=1):
        try:
            item: Any = check_prompt(json.loads(line))
        except HttpError as error:
            findings.append(f"line {number}: {error.detail}")
        except ValueError as error:
            findings.append(f"line {number}: {error}")
        else:
            items.append(item)
    if not items or len(items) > MAX_JOB_ITEMS:
        findings.append(f"expected 1 to {MAX_JOB_ITEMS} items, got {len(items)}")
    if findings:
        raise HttpError(422, "findings", findings=findings[:100])
    return items


class JobWorker:
    """Claims chunks of jobs, runs their items and stores the results."""

    def __init__(
        self, view: HostView, store: ObjectStore, entry: Entry, timers: Timers
    ) -> None:
        self._view = view
        self._store = store
        self._entry = entry
        self._timers = timers
        self._complete: set[JobId] = set()
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start working."""
        self._task = asyncio.ensure_future(self._work())

    async def close(self) -> None:
        """Stop working."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def _work(self) -> None:
        while True:
            try:
                await self._work_once()
            except PlatformError as error:
                logger.warning("batch step failed", extra={"error": str(error)})
            await asyncio.sleep(WORK_INTERVAL_S)

    async def _work_once(self) -> None:
        page = await self._store.list_objects(JOB_KIND)
        for stored in page.objects:
            job: JobDocument = json.loads(stored.value)
            if job["job_id"] not in self._complete:
                await self._work_on(job)

    async def _work_on(self, job: JobDocument) -> None:
        for number in range(job["n_chunks"]):
            name = chunk_name(job["job_id"], number)
            if await self._claim(name):
                await self._run_chunk(job, name)
        self._complete.add(job["job_id"])

    async def _claim(self, name: str) -> bool:
        value = json.dumps({"holder": self._view.own.host_id}).encode()
        try:
            await self._store.put(
                CLAIM_KIND,
                name,
                value,
                expected_version=0,
                operation_id=uuid.uuid4().hex,
            )
        except ConflictError:
            return False
        return True

    async def _run_chunk(self, job: JobDocument, name: str) -> None:
        stored = await self._store.get(ITEMS_KIND, name)
        if stored is None:
            return
        items: Sequence[ItemDocument] = json.loads(stored.value)
        limit = asyncio.Semaphore(ITEMS_AT_ONCE)
        runs = (
            self._run_item(job, index, item, limit) for index, item in enumerate(items)
        )
        results = await asyncio.gather(*runs)
        await self._store.put(
            RESULTS_KIND,
            name,
            json.dumps(results).encode(),
            expected_version=0,
            operation_id=uuid.uuid4().hex,
        )

    async def _run_item(
        self, job: JobDocument, index: int, item: ItemDocument, limit: asyncio.Semaphore
    ) -> ResultDocument:
        request = CallerRequest(
            request_id=uuid.uuid4().hex,
            service=job["service"],
            workspace=job["workspace"],
            work_class=WorkClass.BATCH,
            deadline_s=ITEM_TIMEOUT_S,
            idempotent=True,
            path=ENGINE_PATH,
            content_type=JSON_TYPE,
            body=json.dumps(item).encode(),
            prompt=item["prompt"],
        )
        async with limit:
            try:
                messages = [message async for message in self._entry.run(request)]
            except RequestError as error:
                return {"index": index, "error": str(error)}
        texts = [message.text for message in messages if isinstance(message, Token)]
        return {"index": index, "text": "".join(texts)}
