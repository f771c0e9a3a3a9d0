"""Callers' requests on batch jobs: submit, read results and items, cancel."""

from __future__ import annotations

import logging

from damaskjunction.batch import BatchItem, JobRecord
from damaskjunction.core import (
    HostId,
    JobId,
    PlatformError,
    PlatformUnavailableError,
    PlatformUnknownError,
    Timers,
    rendezvous_order,
)
from damaskjunction.gateway.jobs.cancellation_notifier import CancellationNotifier
from damaskjunction.gateway.jobs.job_parts import JobTooLargeError
from damaskjunction.gateway.jobs.job_repository import JobRepository, StoredJob
from damaskjunction.gateway.jobs.result_reader import ResultReader
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.unauthorized import UnauthorizedError
from damaskjunction.http import Request, Response
from damaskjunction.platform import (
    ITEM_PATH_PREFIX,
    JOB_PATH_PREFIX,
    BadJobError,
    CallerRequest,
    ItemQuery,
    Refusal,
    ResultsQuery,
    decode_item_query,
    decode_job,
    decode_job_id,
    decode_results_query,
    refusal_response,
    results_response,
)
from damaskjunction.routing import Caller, Route, has_public_jobs

logger = logging.getLogger(__name__)

MAX_WAIT_S = 1.0
RETRY_AFTER_S = 0.4
ANYBODY = Caller()  # while no workspaces are configured
QUEUE_FULL_RETRY_AFTER_S = 2.0


class JobFront:
    """Handles callers' requests on batch jobs.

    Parameters
    ----------
    job_repository : JobRepository
        Jobs and their results.
    reader : ResultReader
        Reads results from owners or the store.
    notifier : CancellationNotifier
        Announces cancellations to the owners of jobs.
    state : ServingState
        Routes and known hosts.
    timers : Timers
        The process's timer service.
    """

    def __init__(
        self,
        job_repository: JobRepository,
        reader: ResultReader,
        notifier: CancellationNotifier,
        *,
        state: ServingState,
        timers: Timers,
    ) -> None:
        self._jobs = job_repository
        self._notifier = notifier
        self._reader = reader
        self._state = state
        self._timers = timers

    async def submit(
        self, request: CallerRequest, route: Route, caller: Caller = ANYBODY
    ) -> Response:
        """Accept a job; once this returns 202, the job is stored and will be run."""
        job_id = request.request_id
        try:
            items = decode_job(request.body)
        except BadJobError as error:
            return refusal_response(Refusal.BAD_REQUEST, str(error), request_id=job_id)
        if not job_id:
            return refusal_response(Refusal.BAD_REQUEST, "the job has no request id")
        known = self._jobs.jobs_by_id.get(job_id)
        if known is not None:
            return self._answer_again(known, caller)
        n_tokens = sum(item.n_tokens for item in items)
        if self._exceeds_token_limit(route, caller, n_tokens):
            return await self._refuse_too_much(
                job_id, caller, "too_many_tokens_wait", tokens=n_tokens
            )
        if not self._jobs.memory.has_room(items):
            return await self._refuse_too_much(job_id, caller, "too_many_items_held")
        return await self._accept(request, route, items, caller)

    def _answer_again(self, job: StoredJob, caller: Caller) -> Response:
        """Respond to a job under an id that was accepted before."""
        record = job.record
        if caller.may_have_sent(record.workspace):
            self._log("already accepted", record.job_id)
            return Response(202)
        self._log("refused", record.job_id, reason="id_of_another_workspace")
        return refusal_response(
            Refusal.BAD_REQUEST, "the id is in use", request_id=record.job_id
        )

    async def _refuse_too_much(
        self, job_id: JobId, caller: Caller, reason: str, **fields: object
    ) -> Response:
        """Reject a job for which there is no room, unless it was accepted elsewhere."""
        known = await self._try_find(job_id)
        if known is not None:
            return self._answer_again(known, caller)
        self._log("refused", job_id, reason=reason, **fields)
        return refusal_response(
            Refusal.TOO_MUCH,
            reason.replace("_", " "),
            request_id=job_id,
            retry_after_s=QUEUE_FULL_RETRY_AFTER_S,
        )

    async def _accept(
        self,
        request: CallerRequest,
        route: Route,
        items: tuple[BatchItem, ...],
        caller: Caller,
    ) -> Response:
        job_id = request.request_id
        record = JobRecord(
            job_id,
            route.name,
            request.host,
            self._timers.wall(),
            tuple(item.item_id for item in items),
            tuple(item.n_tokens for item in items),
            0,
            self._choose_owner(job_id),
            caller.workspace_name,
        )
        self._jobs.memory.hold(job_id, items)
        is_held = False
        try:
            stored = await self._jobs.accept(record, items)
            is_held = stored.is_open and stored.owner == self._state.view.own.host_id
        except JobTooLargeError as error:
            self._log("refused", job_id, reason="too_large", detail=str(error))
            return refusal_response(Refusal.BAD_REQUEST, str(error), request_id=job_id)
        except PlatformUnavailableError as error:
            return self._refuse(job_id, error)
        except PlatformUnknownError as error:
            return self._answer_unknown(job_id, error)
        finally:
            if not is_held:
                self._jobs.memory.release(job_id)
        if not caller.may_have_sent(stored.record.workspace):
            return self._answer_again(stored, caller)
        self._log("accepted", job_id, n_items=len(items), tokens=record.n_tokens)
        return Response(202)

    def _choose_owner(self, job_id: JobId) -> HostId:
        """Return the host that is to run a job: one that stays if this one drains."""
        view = self._state.view
        weighted_hosts = [(host.host_id, 1.0) for host in view.serving_hosts()]
        if not view.is_draining or not weighted_hosts:
            return view.own.host_id
        return rendezvous_order(f"job/{job_id}", weighted_hosts)[0]

    async def serve(
        self, request: Request, caller: Caller = ANYBODY
    ) -> Response | None:
        """Handle a request on a stored job; return None for any other request.

        Raises
        ------
        UnauthorizedError
            When the caller needs the key of a workspace.
        """
        path = request.path
        try:
            if path.startswith(JOB_PATH_PREFIX):
                if request.method == "GET":
                    return await self._read(decode_results_query(request), caller)
                if request.method == "DELETE":
                    job_id = decode_job_id(path, JOB_PATH_PREFIX)
                    return await self._cancel(job_id, caller)
            if path.startswith(ITEM_PATH_PREFIX) and request.method == "GET":
                return await self._read_item(decode_item_query(request), caller)
        except PlatformUnavailableError as error:
            return self._refuse(path.rpartition("/")[2], error)
        except PlatformUnknownError as error:
            return self._answer_unknown(path.rpartition("/")[2], error)
        return None

    async def _find(self, job_id: JobId, caller: Caller) -> StoredJob | None:
        """Return a job that a caller may reach, None if there is no such job.

        Raises
        ------
        UnauthorizedError
            When the caller needs the key of a workspace.
        """
        if not caller.is_restricted:
            return await self._jobs.find(job_id)
        table = self._state.table
        if caller.denial is not None and not has_public_jobs(table):
            raise UnauthorizedError(caller.denial)
        job = await self._jobs.find(job_id)
        route = None if job is None else table.find_by_name(job.record.route_name)
        is_public = route is not None and route.is_public
        if job is not None and caller.may_reach_job(
            job.record.workspace, is_public=is_public
        ):
            return job
        if caller.denial is not None:
            raise UnauthorizedError(caller.denial)
        return None

    async def _read(self, query: ResultsQuery, caller: Caller) -> Response:
        job = await self._find(query.job_id, caller)
        if job is None:
            return _no_such_job(query.job_id)
        wait_s = min(query.wait_s, MAX_WAIT_S)
        results = await self._reader.read(job, query.after, wait_s)
        return results_response(len(job.record.item_ids), query.after, results)

    async def _read_item(self, query: ItemQuery, caller: Caller) -> Response:
        job_id, item_id = query
        job = await self._find(job_id, caller)
        if job is None:
            return _no_such_job(job_id)
        for item in await self._jobs.items(job_id):
            if item.item_id == item_id:
                return Response(200, item.body, "application/octet-stream")
        return refusal_response(Refusal.NO_ROUTE, f"no item {item_id!r}")

    async def _cancel(self, job_id: JobId, caller: Caller) -> Response:
        job = await self._find(job_id, caller)
        if job is not None:
            job = await self._jobs.update_status(job_id, is_ended=True)
        if job is None:
            return _no_such_job(job_id)
        await self._notifier.announce(job)
        self._log("ended", job_id)
        return Response(200)

    def _exceeds_token_limit(self, route: Route, caller: Caller, n_tokens: int) -> bool:
        """Return whether tokens exceed what the caller's workspace may have waiting."""
        limit = route.max_waiting_tokens
        if not limit:
            return False
        n_queued_tokens = sum(
            self._queued_tokens(job)
            for job in self._jobs.open_jobs()
            if job.record.route_name == route.name
            and (
                not caller.is_restricted
                or job.record.workspace == caller.workspace_name
            )
        )
        return n_queued_tokens + n_tokens > limit

    def _queued_tokens(self, job: StoredJob) -> int:
        finished_ids = {
            result.item_id for result in self._jobs.results.cached(job.record.job_id)
        }
        pairs = zip(job.record.item_ids, job.record.tokens, strict=True)
        return sum(tokens for item_id, tokens in pairs if item_id not in finished_ids)

    async def _try_find(self, job_id: JobId) -> StoredJob | None:
        """Return a job that another host may have accepted just now.

        Returns None when there is none, or when the lookup fails.
        """
        try:
            return await self._jobs.find(job_id)
        except PlatformError as error:
            self._log("lookup failed", job_id, error=str(error))
            return None

    def _answer_unknown(self, job_id: JobId, error: PlatformUnknownError) -> Response:
        """Respond to a request of which it is not known whether it took effect."""
        self._log("unknown", job_id, error=str(error))
        return refusal_response(Refusal.UNKNOWN, "the store did not respond")

    def _refuse(self, job_id: JobId, error: PlatformUnavailableError) -> Response:
        """Refuse a request that had no effect."""
        self._log("request failed", job_id, error=str(error))
        return refusal_response(
            Refusal.NOT_RUN, "the store is unavailable", retry_after_s=RETRY_AFTER_S
        )

    def _log(self, event: str, job_id: JobId, **fields: object) -> None:
        logger.info(f"job {event}", extra={"job": job_id, **fields})


def _no_such_job(job_id: JobId) -> Response:
    return refusal_response(Refusal.NO_ROUTE, f"no job {job_id!r}")
