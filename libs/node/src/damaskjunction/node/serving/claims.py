"""Calls with an idempotency key, claimed in the platform's store before they run."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
import logging
import random
import uuid
from typing import Any

from damaskjunction.core import (
    ConflictError,
    HostId,
    Outcome,
    PlatformError,
    RequestError,
    Revision,
    Timers,
)
from damaskjunction.core.units import HOUR_S, KIB, MINUTE_S
from damaskjunction.http import HttpError
from damaskjunction.node.documents import CALL_KIND, CallDocument
from damaskjunction.node.serving.caller_request import CallerRequest, read_plain_answer
from damaskjunction.node.serving.metering import RequestRunner
from damaskjunction.node.tasks import cancel_tasks
from damaskjunction.platform import ObjectStore, StoredObject
from damaskjunction.routing import (
    Claim,
    ClaimEffect,
    ClaimState,
    FailCall,
    PlainAnswer,
    RecheckClaim,
    RejectKeyReuse,
    ReplayAnswer,
    TakeOverClaim,
    resolve_claim,
)

RECHECK_INTERVAL_S = 0.2
MAX_CLAIM_WAIT_S = 3.0
# A larger response is not stored; a repeated submission of its call then fails.
MAX_STORED_RESPONSE_BYTES = 64 * KIB
MAX_OUTCOME_ATTEMPTS = 30
OUTCOME_RETRY_INTERVAL_S = 1.0
RETENTION_S = 24 * HOUR_S
REMOVAL_INTERVAL_S = 10 * MINUTE_S
CLAIMS_PER_PAGE = 100

logger = logging.getLogger(__name__)


class CallClaims:
    """Runs non-idempotent calls at most once per idempotency key.

    A call runs only after its claim was stored, so that any host recognises a
    repeated submission. While the platform is unavailable, no claim can be stored
    and the call is refused.

    Parameters
    ----------
    store : ObjectStore
        Stores the claims.
    request_runner : RequestRunner
        Runs the calls.
    host_id : HostId
        This host, recorded as the holder of its claims.
    timers : Timers
        The process's timer service.
    rng : random.Random
        Randomises when expired claims are removed and which page is checked.
    """

    def __init__(
        self,
        store: ObjectStore,
        request_runner: RequestRunner,
        host_id: HostId,
        timers: Timers,
        *,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._request_runner = request_runner
        self._host_id = host_id
        self._timers = timers
        self._rng = rng
        self._tasks: set[asyncio.Task[Any]] = set()
        self._removal_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic removal of expired claims."""
        self._removal_task = asyncio.ensure_future(self._run_removals())

    async def drain(self) -> None:
        """Wait until every call has ended and its outcome is stored in its claim."""
        while self._tasks:
            await asyncio.wait(list(self._tasks))

    async def close(self) -> None:
        """Cancel all tasks; claims of calls in progress stay as they are."""
        tasks = list(self._tasks)
        if self._removal_task is not None:
            tasks.append(self._removal_task)
        await cancel_tasks(tasks)

    async def run(self, request: CallerRequest, key: str) -> PlainAnswer:
        """Return the response of the single run of a call under its key.

        The run goes on when the caller disconnects, so that a repeated submission
        gets its outcome.

        Raises
        ------
        HttpError
            With status 422 when the key was used for a different call.
        RequestError
            When there is no response; ``NOT_RUN`` while the platform is unavailable.
        """
        name = _claim_name(request, key)
        claim = Claim(
            ClaimState.CLAIMED,
            _request_digest(request),
            self._host_id,
            request.request_id,
            self._timers.wall(),
        )
        version_or_response = await self._acquire_claim(name, claim, request.deadline_s)
        if isinstance(version_or_response, PlainAnswer):
            return version_or_response
        return await asyncio.shield(
            self._start_task(self._run(name, claim, version_or_response, request))
        )

    async def _acquire_claim(
        self, name: str, claim: Claim, deadline_s: float
    ) -> Revision | PlainAnswer:
        """Return the version of a new claim, or the response of an earlier run."""
        wait_until_s = self._timers.now() + min(MAX_CLAIM_WAIT_S, deadline_s)
        expected_version = 0
        while True:
            try:
                return await self._put_claim(name, claim, expected_version)
            except ConflictError as error:
                stored = StoredObject(CALL_KIND, name, error.version, error.value)
            except PlatformError as error:
                self._start_task(
                    self._store_outcome(name, claim._replace(state=ClaimState.FREE))
                )
                detail = f"the call could not be claimed: {error}"
                raise RequestError(
                    Outcome.NOT_RUN, "platform_away", detail, retry_after_s=2.0
                ) from None
            expected_version = 0
            if stored.version == 0:
                continue  # the claim was deleted in the meantime; create it anew
            may_wait = self._timers.now() < wait_until_s
            stored_claim = _claim_from_document(stored.value)
            effect = resolve_claim(stored_claim, claim.digest, may_wait=may_wait)
            response = _replayed_response(effect)
            if response is not None:
                return response
            if isinstance(effect, TakeOverClaim):
                expected_version = stored.version
            else:
                await asyncio.sleep(RECHECK_INTERVAL_S)

    async def _run(
        self, name: str, claim: Claim, version: Revision, request: CallerRequest
    ) -> PlainAnswer:
        outcome = Outcome.UNKNOWN
        response: PlainAnswer | None = None
        try:
            response = await read_plain_answer(self._request_runner.run(request))
            return response
        except RequestError as error:
            outcome = error.outcome
            raise
        finally:
            ended = _ended_claim(claim, outcome, response)
            self._start_task(self._store_outcome(name, ended, version))

    async def _store_outcome(
        self, name: str, claim: Claim, version: Revision = 0
    ) -> None:
        """Store the outcome of a call, with retries while the platform is unavailable.

        With version 0 it is unknown whether the claim was created: it is read first,
        and nothing is stored if it does not exist or belongs to another call.
        """
        for _ in range(MAX_OUTCOME_ATTEMPTS):
            try:
                if not version:
                    version = await self._own_claim_version(name, claim)
                if version:
                    await self._put_claim(name, claim, version)
                return
            except ConflictError:
                return
            except PlatformError as error:
                logger.warning(
                    "storing the outcome of a call failed", extra={"error": str(error)}
                )
                await asyncio.sleep(OUTCOME_RETRY_INTERVAL_S)

    async def _own_claim_version(self, name: str, claim: Claim) -> Revision:
        stored = await self._store.get(CALL_KIND, name)
        if stored is None:
            return 0
        is_own = _claim_from_document(stored.value).request_id == claim.request_id
        return stored.version if is_own else 0

    async def _put_claim(
        self, name: str, claim: Claim, expected_version: Revision
    ) -> Revision:
        return await self._store.put(
            CALL_KIND,
            name,
            json.dumps(_claim_to_document(claim)).encode(),
            expected_version=expected_version,
            operation_id=uuid.uuid4().hex,
        )

    def _start_task(self, coroutine: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._remove_task)
        return task

    def _remove_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _run_removals(self) -> None:
        """Remove expired claims, one page from a random start in each interval."""
        while True:
            pause_s = REMOVAL_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(pause_s)
            after = f"{self._rng.getrandbits(64):016x}"
            try:
                await self._remove_expired(after)
            except PlatformError as error:
                logger.warning(
                    "removal of expired claims failed", extra={"error": str(error)}
                )

    async def _remove_expired(self, after: str) -> None:
        page = await self._store.list_objects(
            CALL_KIND, after=after, limit=CLAIMS_PER_PAGE
        )
        expired_before_s = self._timers.wall() - RETENTION_S
        for stored in page.objects:
            if _claim_from_document(stored.value).claimed_at_s >= expired_before_s:
                continue
            try:
                await self._store.delete(
                    CALL_KIND,
                    stored.name,
                    expected_version=stored.version,
                    operation_id=uuid.uuid4().hex,
                )
            except ConflictError:
                continue  # changed by another host; a later removal reads it again


def _replayed_response(effect: ClaimEffect) -> PlainAnswer | None:
    """Return the response to replay, or None when the claim must be tried again.

    Raises
    ------
    HttpError, RequestError
        When the effect is an error for the caller.
    """
    match effect:
        case ReplayAnswer(response):
            return response
        case FailCall(error):
            raise error
        case RejectKeyReuse():
            detail = "this idempotency key was already used for a different call"
            raise HttpError(422, "key_reused", detail)
        case TakeOverClaim() | RecheckClaim():
            return None


def _ended_claim(claim: Claim, outcome: Outcome, response: PlainAnswer | None) -> Claim:
    if response is not None:
        stored_response = (
            response if len(response.body) <= MAX_STORED_RESPONSE_BYTES else None
        )
        return claim._replace(state=ClaimState.ANSWERED, answer=stored_response)
    if outcome is Outcome.NOT_RUN:
        return claim._replace(state=ClaimState.FREE)
    return claim._replace(state=ClaimState.FAILED, outcome=outcome)


def _claim_name(request: CallerRequest, key: str) -> str:
    parts = (request.workspace, request.service, key)
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def _request_digest(request: CallerRequest) -> str:
    head = f"{request.path}\0{request.content_type}\0".encode()
    return hashlib.sha256(head + request.body).hexdigest()


def _claim_to_document(claim: Claim) -> CallDocument:
    response = claim.answer
    return {
        "state": claim.state.value,
        "digest": claim.digest,
        "holder": claim.holder,
        "request_id": claim.request_id,
        "claimed_at": claim.claimed_at_s,
        "outcome": claim.outcome.value,
        "status": response.status if response else 0,
        "content_type": response.content_type if response else "",
        "body": base64.b64encode(response.body).decode() if response else "",
    }


def _claim_from_document(value: bytes) -> Claim:
    document: CallDocument = json.loads(value)
    response = None
    if document["status"]:
        body = base64.b64decode(document["body"])
        response = PlainAnswer(0, document["status"], document["content_type"], body)
    return Claim(
        ClaimState(document["state"]),
        document["digest"],
        document["holder"],
        document["request_id"],
        document["claimed_at"],
        Outcome(document["outcome"]),
        response,
    )
