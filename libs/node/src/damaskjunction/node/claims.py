"""Calls under an idempotency key: claimed at the platform before they run."""

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
from damaskjunction.node.entry import CallerRequest, read_plain_answer
from damaskjunction.node.metering import RequestRunner
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

LOOK_AGAIN_S = 0.2
MAX_WAIT_S = 3.0
MAX_ANSWER_BYTES = 64 * KIB
N_SETTLE_TRIES = 30
SETTLE_RETRY_S = 1.0
RETENTION_S = 24 * HOUR_S
SWEEP_INTERVAL_S = 10 * MINUTE_S
SWEEP_PAGE = 100

logger = logging.getLogger(__name__)


class CallClaims:
    """Runs calls that may not be repeated, once for each idempotency key.

    A call runs only after its claim was created, so that any host recognises a
    resend. Without the platform no claim can be made and the call is refused.

    Parameters
    ----------
    store : ObjectStore
        Keeps the claims.
    entry : RequestRunner
        Runs the calls.
    host_id : HostId
        This host, the holder of its claims.
    timers : Timers
        The process's timer service.
    chance : random.Random
        Spreads the removal of old claims.
    """

    def __init__(
        self,
        store: ObjectStore,
        entry: RequestRunner,
        host_id: HostId,
        timers: Timers,
        *,
        chance: random.Random,
    ) -> None:
        self._store = store
        self._entry = entry
        self._host_id = host_id
        self._timers = timers
        self._chance = chance
        self._running: set[asyncio.Task[Any]] = set()
        self._sweeping: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start removing old claims."""
        self._sweeping = asyncio.ensure_future(self._sweep())

    async def drain(self) -> None:
        """Return when every call has ended and its claim tells of it."""
        while self._running:
            await asyncio.wait(list(self._running))

    async def close(self) -> None:
        """Stop; claims of calls in progress stay as they are."""
        tasks = list(self._running)
        if self._sweeping is not None:
            tasks.append(self._sweeping)
        await cancel_tasks(tasks)

    async def run(self, request: CallerRequest, key: str) -> PlainAnswer:
        """Return the answer of the one run of a call under a key.

        A caller that goes away does not end the run, so a resend is told of it.

        Raises
        ------
        HttpError
            With status 422 when the key was used for another call.
        RequestError
            When there is no answer; ``NOT_RUN`` while the platform is away.
        """
        name = _name_of(request, key)
        claim = Claim(
            ClaimState.CLAIMED,
            _digest_of(request),
            self._host_id,
            request.request_id,
            self._timers.wall(),
        )
        found = await self._claim(name, claim, request.deadline_s)
        if isinstance(found, PlainAnswer):
            return found
        return await asyncio.shield(self._keep(self._run(name, claim, found, request)))

    async def _claim(
        self, name: str, claim: Claim, deadline_s: float
    ) -> Revision | PlainAnswer:
        """Return the version of a claim just made, or the answer of an earlier run."""
        end_s = self._timers.now() + min(MAX_WAIT_S, deadline_s)
        expected = 0
        while True:
            try:
                return await self._put(name, claim, expected)
            except ConflictError as error:
                stored = StoredObject(CALL_KIND, name, error.version, error.value)
            except PlatformError as error:
                self._keep(self._settle(name, claim._replace(state=ClaimState.FREE)))
                detail = f"no claim could be made: {error}"
                raise RequestError(
                    Outcome.NOT_RUN, "platform_away", detail, retry_after_s=2.0
                ) from None
            expected = 0
            if stored.version == 0:
                continue
            may_wait = self._timers.now() < end_s
            earlier = _to_claim(stored.value)
            effect = resolve_claim(earlier, claim.digest, may_wait=may_wait)
            answer = _answer_of(effect)
            if answer is not None:
                return answer
            if isinstance(effect, TakeOverClaim):
                expected = stored.version
            else:
                await asyncio.sleep(LOOK_AGAIN_S)

    async def _run(
        self, name: str, claim: Claim, version: Revision, request: CallerRequest
    ) -> PlainAnswer:
        outcome = Outcome.UNKNOWN
        answer: PlainAnswer | None = None
        try:
            answer = await read_plain_answer(self._entry.run(request))
            return answer
        except RequestError as error:
            outcome = error.outcome
            raise
        finally:
            ended = _to_ended(claim, outcome, answer)
            self._keep(self._settle(name, ended, version))

    async def _settle(self, name: str, claim: Claim, version: Revision = 0) -> None:
        """Store how a call ended, through outages of the platform.

        Without a version, a claim whose creation is in doubt is looked for first.
        """
        for _ in range(N_SETTLE_TRIES):
            try:
                if not version:
                    version = await self._version_of_own(name, claim)
                if version:
                    await self._put(name, claim, version)
                return
            except ConflictError:
                return
            except PlatformError as error:
                logger.warning("claim not settled", extra={"error": str(error)})
                await asyncio.sleep(SETTLE_RETRY_S)

    async def _version_of_own(self, name: str, claim: Claim) -> Revision:
        stored = await self._store.get(CALL_KIND, name)
        if stored is None:
            return 0
        is_own = _to_claim(stored.value).request_id == claim.request_id
        return stored.version if is_own else 0

    async def _put(self, name: str, claim: Claim, expected: Revision) -> Revision:
        return await self._store.put(
            CALL_KIND,
            name,
            json.dumps(_to_document(claim)).encode(),
            expected_version=expected,
            operation_id=uuid.uuid4().hex,
        )

    def _keep(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.ensure_future(work)
        self._running.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._running.discard(task)
        if not task.cancelled():
            task.exception()

    async def _sweep(self) -> None:
        """Remove old claims, one page at a random place at a time."""
        while True:
            pause_s = SWEEP_INTERVAL_S * self._chance.uniform(0.5, 1.5)
            await asyncio.sleep(pause_s)
            after = f"{self._chance.getrandbits(64):016x}"
            try:
                await self._remove_old(after)
            except PlatformError as error:
                logger.warning("claims not swept", extra={"error": str(error)})

    async def _remove_old(self, after: str) -> None:
        page = await self._store.list_objects(CALL_KIND, after=after, limit=SWEEP_PAGE)
        oldest_s = self._timers.wall() - RETENTION_S
        for stored in page.objects:
            if _to_claim(stored.value).claimed_at_s >= oldest_s:
                continue
            try:
                await self._store.delete(
                    CALL_KIND,
                    stored.name,
                    expected_version=stored.version,
                    operation_id=uuid.uuid4().hex,
                )
            except ConflictError:
                continue  # the claim is read again as another host left it


def _answer_of(effect: ClaimEffect) -> PlainAnswer | None:
    """Return the answer to replay, if the effect is one.

    Raises
    ------
    HttpError, RequestError
        What the caller is to be told instead.
    """
    match effect:
        case ReplayAnswer(answer):
            return answer
        case FailCall(error):
            raise error
        case RejectKeyReuse():
            detail = "this idempotency key was used for another call"
            raise HttpError(422, "key_reused", detail)
        case TakeOverClaim() | RecheckClaim():
            return None


def _to_ended(claim: Claim, outcome: Outcome, answer: PlainAnswer | None) -> Claim:
    if answer is not None:
        kept = answer if len(answer.body) <= MAX_ANSWER_BYTES else None
        return claim._replace(state=ClaimState.ANSWERED, answer=kept)
    if outcome is Outcome.NOT_RUN:
        return claim._replace(state=ClaimState.FREE)
    return claim._replace(state=ClaimState.FAILED, outcome=outcome)


def _name_of(request: CallerRequest, key: str) -> str:
    parts = (request.workspace, request.service, key)
    return hashlib.sha256("\0".join(parts).encode()).hexdigest()


def _digest_of(request: CallerRequest) -> str:
    head = f"{request.path}\0{request.content_type}\0".encode()
    return hashlib.sha256(head + request.body).hexdigest()


def _to_document(claim: Claim) -> CallDocument:
    answer = claim.answer
    return {
        "state": claim.state.value,
        "digest": claim.digest,
        "holder": claim.holder,
        "request_id": claim.request_id,
        "claimed_at": claim.claimed_at_s,
        "outcome": claim.outcome.value,
        "status": answer.status if answer else 0,
        "content_type": answer.content_type if answer else "",
        "body": base64.b64encode(answer.body).decode() if answer else "",
    }


def _to_claim(value: bytes) -> Claim:
    document: CallDocument = json.loads(value)
    answer = None
    if document["status"]:
        body = base64.b64decode(document["body"])
        answer = PlainAnswer(0, document["status"], document["content_type"], body)
    return Claim(
        ClaimState(document["state"]),
        document["digest"],
        document["holder"],
        document["request_id"],
        document["claimed_at"],
        Outcome(document["outcome"]),
        answer,
    )
