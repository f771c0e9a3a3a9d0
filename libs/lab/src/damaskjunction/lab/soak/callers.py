"""Load of a soak: online requests, and batch jobs submitted, read and cancelled."""

from __future__ import annotations

import asyncio
import itertools
import random

from damaskjunction.core import HostId, JobId
from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.lab.soak.checks import STREAM_ROUTES
from damaskjunction.lab.soak.history import (
    DEADLY_PREFIX,
    Call,
    Cancellation,
    ResultsRead,
    Submission,
)
from damaskjunction.lab.soak.rig import DEADLY_PART, HOST_NAME, PORTS, SoakRig
from damaskjunction.node import cancel_tasks
from damaskjunction.standins import (
    caller_headers,
    job_path,
    make_job,
    make_prompt_header,
    make_results_request,
    read_results,
)

DEADLY_FRACTION = 0.1
# Routes of online requests; the rig's configuration gives the kind of each.
ROUTES = ("ask", "alert", "look", "order")
DEADLINE_S = 5.0
CALL_INTERVAL_S = (0.02, 0.3)  # minimum and maximum
STALL_TIMEOUT_S = 6.0
JOB_INTERVAL_S = 0.5
READ_INTERVAL_S = 0.4
LONG_POLL_S = 0.5
RETRY_INTERVAL_S = 0.3
MAX_SUBMISSIONS = 60
CANCELLED_FRACTION = 0.15
MAX_ITEMS = 5
NO_STATUS = 0


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
    """

    def __init__(
        self, rig: SoakRig, rng: random.Random, *, n_callers: int, n_submitters: int
    ) -> None:
        self._rig = rig
        self._rng = rng
        self._n_callers = n_callers
        self._n_submitters = n_submitters
        self._numbers = itertools.count(1)
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the tasks of all callers."""
        coroutines = [self._call_until_stopped() for _ in range(self._n_callers)]
        coroutines += [self._submit_until_stopped() for _ in range(self._n_submitters)]
        self._tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]

    async def stop(self, limit_s: float) -> None:
        """Start no new calls and jobs; wait up to a limit for those in progress."""
        self._is_stopping = True
        done, pending = await asyncio.wait(self._tasks, timeout=limit_s)
        await cancel_tasks(pending)
        for task in done:
            task.result()

    async def _call_until_stopped(self) -> None:
        while not self._is_stopping:
            route = self._rng.choice(ROUTES)
            host = self._rng.choice(self._rig.host_names)
            await self._call(host, route, self._next_request_id(route))
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

    async def _call(self, host: HostId, route: str, request_id: str) -> None:
        now = self._rig.timers.now
        sent_at_s = now()
        parts = ["system", "subject"]
        if request_id.startswith(DEADLY_PREFIX):
            parts.append(DEADLY_PART)
        headers = {
            **caller_headers(request_id, DEADLINE_S),
            **make_prompt_header([*parts, request_id]),
        }
        status, body, is_complete = await self._send_request(
            host, "POST", f"/{route}/x", headers, request_id.encode()
        )
        self._rig.history.calls.append(
            Call(request_id, route, host, sent_at_s, now(), status, is_complete, body)
        )

    async def _send_request(
        self,
        host: HostId,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> tuple[int, bytes, bool]:
        """Return status, body and whether it is complete; status 0 if no response."""
        address = self._rig.host_address(host, PORTS["caller"])
        read = b""
        status = NO_STATUS
        try:
            response = await self._rig.client.send(
                address,
                method,
                target,
                headers={"Host": HOST_NAME, **headers},
                body=body,
                stall_s=STALL_TIMEOUT_S,
                new_connection=True,
            )
            status = response.status
            async for chunk in response.chunks():
                read += chunk
        except (BrokenResponseError, ConnectFailedError):
            return status, read, False
        return status, read, True

    # Jobs

    async def _submit_until_stopped(self) -> None:
        while not self._is_stopping:
            job_id = f"job{next(self._numbers)}"
            if await self._submit_job(job_id, self._rng.randint(1, MAX_ITEMS)):
                await self._read_results(job_id)
            await asyncio.sleep(JOB_INTERVAL_S)

    async def _submit_job(self, job_id: JobId, n_items: int) -> bool:
        """Submit a job to random hosts until one accepts it; return whether one did."""
        body = make_job(job_id, n_items, path="/night/x")
        for _ in range(MAX_SUBMISSIONS):
            host = self._rng.choice(self._rig.host_names)
            headers = caller_headers(job_id, DEADLINE_S)
            status, _, _ = await self._send_request(
                host, "POST", "/night/", headers, body
            )
            now_s = self._rig.timers.now()
            self._rig.history.submissions.append(
                Submission(job_id, n_items, now_s, status)
            )
            if status == 202:
                return True
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _read_results(self, job_id: JobId) -> None:
        """Read all results of a job from random hosts, or cancel the job.

        Each read starts at a random position up to the last one read, so that pages
        overlap. A job to be cancelled is read until a host confirms the cancellation.
        """
        n_read = 0
        is_to_cancel = self._rng.random() < CANCELLED_FRACTION
        while True:
            host = self._rng.choice(self._rig.host_names)
            if is_to_cancel:
                status, _, _ = await self._send_request(
                    host, "DELETE", job_path(job_id), {}
                )
                if status == 200:
                    cancellation = Cancellation(job_id, self._rig.timers.now())
                    self._rig.history.cancellations.append(cancellation)
                    return
            after = self._rng.randint(0, n_read)
            target, headers = make_results_request(job_id, after, LONG_POLL_S)
            status, body, is_complete = await self._send_request(
                host, "GET", target, headers
            )
            if status == 200 and is_complete:
                total, results = read_results(body)
                at_s = self._rig.timers.now()
                self._rig.history.reads.append(
                    ResultsRead(job_id, after, at_s, results)
                )
                n_read = max(n_read, after + len(results))
                if n_read == total:
                    return
            await asyncio.sleep(READ_INTERVAL_S)
