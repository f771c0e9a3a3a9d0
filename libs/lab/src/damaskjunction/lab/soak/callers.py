"""Callers of a soak: requests, and batch jobs that are sent, read and ended."""

from __future__ import annotations

import asyncio
import itertools
import random

from damaskjunction.core import HostId, JobId
from damaskjunction.http import BrokenResponseError, ConnectFailedError
from damaskjunction.lab.soak.history import Call, End, Read, Submission
from damaskjunction.lab.soak.rig import HOST_NAME, PORTS, SoakRig
from damaskjunction.node import cancel_tasks
from damaskjunction.standins import (
    caller_headers,
    job_path,
    make_job,
    make_read,
    read_results,
)

ROUTES = ("ask", "alert", "look", "order")
DEADLINE_S = 5.0
PAUSE_S = (0.02, 0.3)
STALL_S = 6.0
JOB_PAUSE_S = 0.5
READ_PAUSE_S = 0.4
READ_WAIT_S = 0.5
RESEND_S = 0.3
MAX_SENDS = 60
END_SHARE = 0.15
MAX_ITEMS = 5
NO_STATUS = 0


class Callers:
    """Callers that go on until ``stop``, each with one request at a time.

    Parameters
    ----------
    rig : SoakRig
        The fleet.
    chance : random.Random
        Source of random choices.
    n_callers, n_senders : int
        How many callers, and senders of jobs.
    """

    def __init__(
        self, rig: SoakRig, chance: random.Random, *, n_callers: int, n_senders: int
    ) -> None:
        self._rig = rig
        self._chance = chance
        self._n_callers = n_callers
        self._n_senders = n_senders
        self._numbers = itertools.count(1)
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin."""
        work = [self._call_on() for _ in range(self._n_callers)]
        work += [self._send_on() for _ in range(self._n_senders)]
        self._tasks = [asyncio.ensure_future(one) for one in work]

    async def stop(self, limit_s: float) -> None:
        """Send nothing new; return when all jobs were read, or after a while."""
        self._is_stopping = True
        done, late = await asyncio.wait(self._tasks, timeout=limit_s)
        await cancel_tasks(late)
        for task in done:
            task.result()

    async def _call_on(self) -> None:
        while not self._is_stopping:
            route = self._chance.choice(ROUTES)
            host = self._chance.choice(self._rig.host_names)
            await self._call(host, route, f"{route}-{next(self._numbers)}")
            await asyncio.sleep(self._chance.uniform(*PAUSE_S))

    async def _call(self, host: HostId, route: str, request_id: str) -> None:
        now = self._rig.timers.now
        sent_at_s = now()
        status, body, is_whole = await self._exchange(
            host,
            "POST",
            f"/{route}/x",
            caller_headers(request_id, DEADLINE_S),
            request_id.encode(),
        )
        self._rig.history.calls.append(
            Call(request_id, route, host, sent_at_s, now(), status, is_whole, body)
        )

    async def _exchange(
        self,
        host: HostId,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
    ) -> tuple[int, bytes, bool]:
        """Return status, body and whether it is whole; status 0 without an answer."""
        address = self._rig.address(host, PORTS["caller"])
        read = b""
        status = NO_STATUS
        try:
            response = await self._rig.client.send(
                address,
                method,
                target,
                headers={"Host": HOST_NAME, **headers},
                body=body,
                stall_s=STALL_S,
                new_connection=True,
            )
            status = response.status
            async for chunk in response.chunks():
                read += chunk
        except (BrokenResponseError, ConnectFailedError):
            return status, read, False
        return status, read, True

    # Jobs

    async def _send_on(self) -> None:
        while not self._is_stopping:
            job_id = f"job{next(self._numbers)}"
            if await self._send(job_id, self._chance.randint(1, MAX_ITEMS)):
                await self._follow(job_id)
            await asyncio.sleep(JOB_PAUSE_S)

    async def _send(self, job_id: JobId, n_items: int) -> bool:
        """Hand in a job, again at other hosts until it is accepted."""
        body = make_job(job_id, n_items, path="/night/x")
        for _ in range(MAX_SENDS):
            host = self._chance.choice(self._rig.host_names)
            headers = caller_headers(job_id, DEADLINE_S)
            status, _, _ = await self._exchange(host, "POST", "/night/", headers, body)
            now_s = self._rig.timers.now()
            self._rig.history.submissions.append(
                Submission(job_id, n_items, now_s, status)
            )
            if status == 202:
                return True
            await asyncio.sleep(RESEND_S)
        return False

    async def _follow(self, job_id: JobId) -> None:
        """Read a job's results to the end, at any host; end some jobs midway."""
        n_known = 0
        is_to_end = self._chance.random() < END_SHARE
        while True:
            host = self._chance.choice(self._rig.host_names)
            if is_to_end:
                status, _, _ = await self._exchange(
                    host, "DELETE", job_path(job_id), {}
                )
                if status == 200:
                    end = End(job_id, self._rig.timers.now())
                    self._rig.history.ends.append(end)
                    return
            after = self._chance.randint(0, n_known)
            target, headers = make_read(job_id, after, READ_WAIT_S)
            status, body, is_whole = await self._exchange(host, "GET", target, headers)
            if status == 200 and is_whole:
                total, results = read_results(body)
                at_s = self._rig.timers.now()
                self._rig.history.reads.append(Read(job_id, after, at_s, results))
                n_known = max(n_known, after + len(results))
                if n_known == total:
                    return
            await asyncio.sleep(READ_PAUSE_S)
