"""Load of a soak: online requests, and batch jobs submitted, read and cancelled."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Sequence
from typing import NamedTuple

from damaskjunction.core import HostId, JobId
from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.lab.soak.checks import RESUMABLE_ROUTES, STREAM_ROUTES
from damaskjunction.lab.soak.configuration import HOST_NAME
from damaskjunction.lab.soak.history import (
    DEADLY_PREFIX,
    Call,
    Cancellation,
    ResultsRead,
    Submission,
    read_events,
)
from damaskjunction.lab.soak.rig import (
    DEADLY_PART,
    N_EVENTS,
    PORTS,
    SoakRig,
)
from damaskjunction.lab.soak.runners import ITEM_PREFIX, LIFE_HEADER
from damaskjunction.lab.soak.workspaces import workspace_headers
from damaskjunction.node import cancel_tasks
from damaskjunction.standins import (
    caller_headers,
    job_path,
    make_job,
    make_prompt_header,
    make_results_request,
    make_resume_headers,
    read_results,
)

DEADLY_FRACTION = 0.1
# Routes of online requests; the rig's configuration gives the kind of each.
ROUTES = ("ask", "alert", "look", "order")
DEADLINE_S = 5.0
CALL_INTERVAL_S = (0.02, 0.3)  # minimum and maximum
STALL_TIMEOUT_S = 6.0
JOB_INTERVAL_S = (0.5, 6.0)  # minimum and maximum
READ_INTERVAL_S = 0.4
LONG_POLL_S = 0.5
RETRY_INTERVAL_S = 0.3
MAX_SUBMISSIONS = 60
CANCELLED_FRACTION = 0.15
MAX_ITEMS = 12
KEPT_FRACTION = 0.5  # of the requests that may use an open connection
LEFT_FRACTION = 0.5  # of the streams that can be taken up
LEFT_AFTER_EVENTS = (1, N_EVENTS - 1)  # minimum and maximum
MAX_TAKE_UPS = 3
LATE_FRACTION = 0.3  # of the take-ups, that come after a pause
TAKE_UP_PAUSE_S = (0.2, 3.0)  # minimum and maximum


class _Attempt(NamedTuple):
    """A request to send; ``n_events`` is how many to read, None for all.

    One that takes a stream up names the request that brought its first event.
    """

    request_id: str
    route: str
    resumed_id: str = ""
    last_event_id: int = 0
    n_events: int | None = None


class _Answer(NamedTuple):
    """What came of a request; status 0 means no response."""

    status: int
    life_id: str
    at_s: float
    body: bytes = b""
    is_complete: bool = False
    is_left: bool = False


_NO_ANSWER = _Answer(0, "", 0.0)


class Callers:
    """Concurrent callers that run until ``stop``, each with one request at a time.

    Parameters
    ----------
    rig : SoakRig
        The fleet.
    rng : random.Random
        Random number generator.
    n_callers, n_submitters : int
        Number of concurrent callers, and of submitters of jobs.
    rate_per_s : float, optional
        Further requests to each host a second, which wait for no others.
    """

    def __init__(
        self,
        rig: SoakRig,
        rng: random.Random,
        *,
        n_callers: int,
        n_submitters: int,
        rate_per_s: float = 0.0,
    ) -> None:
        self._rig = rig
        self._rng = rng
        self._n_callers = n_callers
        self._n_submitters = n_submitters
        self._rate_per_s = rate_per_s
        self._numbers = itertools.count(1)
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks of all callers."""
        coroutines = [self._call_until_stopped() for _ in range(self._n_callers)]
        coroutines += [self._submit_until_stopped() for _ in range(self._n_submitters)]
        if self._rate_per_s:
            coroutines += map(self._call_steadily, self._rig.host_names)
        self._tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]

    async def stop(self, limit_s: float) -> None:
        """Start no new calls and jobs; wait up to a limit for those in progress."""
        self._is_stopping = True
        done, pending = await asyncio.wait(self._tasks, timeout=limit_s)
        await cancel_tasks(pending)
        for task in done:
            task.result()

    async def _call_steadily(self, host: HostId) -> None:
        """Send requests of all routes in turn to a host, until stopped.

        They are sent at a fixed rate, whether earlier ones have been answered or not.
        """
        async with asyncio.TaskGroup() as group:
            for route in itertools.cycle(ROUTES):
                if self._is_stopping:
                    return
                attempt = _Attempt(self._next_request_id(route), route)
                group.create_task(self._call(attempt, host))
                await asyncio.sleep(1 / self._rate_per_s)

    async def _call_until_stopped(self) -> None:
        while not self._is_stopping:
            route = self._rng.choice(ROUTES)
            if route in RESUMABLE_ROUTES:
                await self._read_stream(route)
            else:
                await self._call(_Attempt(self._next_request_id(route), route))
            await asyncio.sleep(self._rng.uniform(*CALL_INTERVAL_S))

    def _next_request_id(self, route: str) -> str:
        """Return the id of a new request; it tells whether the prompt is deadly."""
        is_deadly = (
            self._rig.has_deadly_part
            and route in STREAM_ROUTES
            and self._rng.random() < DEADLY_FRACTION
        )
        prefix = DEADLY_PREFIX if is_deadly else ""
        return f"{prefix}{route}-{next(self._numbers)}"

    async def _read_stream(self, route: str) -> None:
        """Read a stream, leave some midway, and take up those that break off.

        Some are taken up late, when other runners may have other versions.
        """
        first_id = self._next_request_id(route)
        attempt = _Attempt(first_id, route)
        if self._rng.random() < LEFT_FRACTION:
            attempt = attempt._replace(n_events=self._rng.randint(*LEFT_AFTER_EVENTS))
        last_event_id = 0
        for _ in range(1 + MAX_TAKE_UPS):
            call = await self._call(attempt)
            events = read_events(call.body) if call.status == 200 else []
            if events:
                last_event_id = events[-1].number
            if (call.is_complete and call.status == 200) or not last_event_id:
                return
            if self._rng.random() < LATE_FRACTION:
                await asyncio.sleep(self._rng.uniform(*TAKE_UP_PAUSE_S))
            next_id = f"{route}-{next(self._numbers)}"
            if first_id.startswith(DEADLY_PREFIX):
                next_id = f"{DEADLY_PREFIX}{next_id}"
            attempt = _Attempt(next_id, route, first_id, last_event_id)

    async def _call(self, attempt: _Attempt, host: HostId = "") -> Call:
        """Send a request to a host, by default to a random one."""
        now = self._rig.timers.now
        sent_at_s = now()
        first_id = attempt.resumed_id or attempt.request_id
        parts = ["system", "subject"]
        if first_id.startswith(DEADLY_PREFIX):
            parts.append(DEADLY_PART)
        headers = {
            **caller_headers(attempt.request_id, DEADLINE_S),
            **make_prompt_header([*parts, first_id]),
            **workspace_headers(self._rig.history, attempt.request_id),
        }
        if attempt.resumed_id:
            headers |= make_resume_headers(first_id, attempt.last_event_id)
        host = host or self._rng.choice(self._rig.host_names)
        target = f"/{attempt.route}/x"
        answer = await self._send_request(
            host,
            "POST",
            target,
            headers,
            first_id.encode(),
            n_events=attempt.n_events,
            new_connection=self._rng.random() >= KEPT_FRACTION,
        )
        call = Call(
            attempt.request_id,
            attempt.route,
            host,
            sent_at_s,
            now(),
            answer.status,
            answer.is_complete,
            answer.body,
            answer.is_left,
            attempt.last_event_id,
            attempt.resumed_id,
            answer.life_id,
            answer.at_s,
        )
        self._rig.history.calls.append(call)
        return call

    async def _send_request(
        self,
        host: HostId,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        *,
        n_events: int | None = None,
        new_connection: bool = True,
    ) -> _Answer:
        """Return the response; leave it after ``n_events`` events if that is given."""
        address = self._rig.host_address(host, PORTS["caller"])
        read = b""
        answer = _NO_ANSWER
        try:
            response = await self._rig.client.send(
                address,
                method,
                target,
                headers={"Host": HOST_NAME, **headers},
                body=body,
                stall_s=STALL_TIMEOUT_S,
                new_connection=new_connection,
            )
            life_id = response.headers.get(LIFE_HEADER.lower(), "")
            answer = _Answer(response.status, life_id, self._rig.timers.now())
            async for chunk in response.chunks():
                read += chunk
                if n_events is not None and len(read_events(read)) >= n_events:
                    response.close()
                    return answer._replace(body=read, is_left=True)
        except (BrokenResponseError, ConnectFailedError):
            return answer._replace(body=read)
        return answer._replace(body=read, is_complete=True)

    # Jobs

    async def _submit_until_stopped(self) -> None:
        while not self._is_stopping:
            job_id = f"{ITEM_PREFIX}{next(self._numbers)}"
            if await self._submit_job(job_id, self._rng.randint(1, MAX_ITEMS)):
                await self._read_results(job_id)
            await asyncio.sleep(self._rng.uniform(*JOB_INTERVAL_S))

    async def run_job(self, hosts: Sequence[HostId], n_items: int) -> float:
        """Submit a job to some hosts, read all results, and return when, in seconds."""
        job_id = f"{ITEM_PREFIX}{next(self._numbers)}"
        while not await self._submit_job(job_id, n_items, hosts):
            pass
        await self._read_results(job_id, cancelled_fraction=0.0)
        return self._rig.timers.now()

    async def _submit_job(
        self, job_id: JobId, n_items: int, hosts: Sequence[HostId] = ()
    ) -> bool:
        """Submit a job to random hosts until one accepts it; return whether one did."""
        body = make_job(job_id, n_items, path="/night/x", has_own_bodies=True)
        key = workspace_headers(self._rig.history, job_id)
        for _ in range(MAX_SUBMISSIONS):
            host = self._rng.choice(hosts or self._rig.host_names)
            headers = caller_headers(job_id, DEADLINE_S) | key
            answer = await self._send_request(host, "POST", "/night/", headers, body)
            now_s = self._rig.timers.now()
            self._rig.history.submissions.append(
                Submission(job_id, n_items, now_s, answer.status)
            )
            if answer.status == 202:
                return True
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _read_results(
        self, job_id: JobId, cancelled_fraction: float = CANCELLED_FRACTION
    ) -> None:
        """Read all results of a job from random hosts, or cancel the job.

        Each read starts at a random position up to the last one read, so that pages
        overlap. A job to be cancelled is read until a host confirms the cancellation.
        """
        n_read = 0
        key = workspace_headers(self._rig.history, job_id)
        is_to_cancel = self._rng.random() < cancelled_fraction
        if is_to_cancel:
            self._rig.history.jobs_to_cancel.add(job_id)
        while True:
            host = self._rng.choice(self._rig.host_names)
            if is_to_cancel:
                answer = await self._send_request(host, "DELETE", job_path(job_id), key)
                if answer.status == 200:
                    cancellation = Cancellation(job_id, self._rig.timers.now())
                    self._rig.history.cancellations.append(cancellation)
                    return
            after = self._rng.randint(0, n_read)
            target, headers = make_results_request(job_id, after, LONG_POLL_S)
            answer = await self._send_request(host, "GET", target, headers | key)
            if answer.status == 200 and answer.is_complete:
                total, results = read_results(answer.body)
                at_s = self._rig.timers.now()
                self._rig.history.reads.append(
                    ResultsRead(job_id, after, at_s, results)
                )
                n_read = max(n_read, after + len(results))
                if n_read == total:
                    return
            await asyncio.sleep(READ_INTERVAL_S)
