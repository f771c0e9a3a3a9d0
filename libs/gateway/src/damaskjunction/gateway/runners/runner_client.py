"""The HTTP client of runners: sends requests and validates the responses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from damaskjunction.core import (
    Address,
    Outcome,
    Runner,
    RunnerId,
    Timers,
)
from damaskjunction.core.units import KIB, MIB, MILLISECOND_S
from damaskjunction.gateway.runners.runner_responses import (
    RunnerFailedError,
    RunnerResponse,
    check_origin,
    check_stream_type,
    is_report_of,
    not_connected,
)
from damaskjunction.http import (
    BrokenResponseError,
    ClientResponse,
    ConnectFailedError,
    Connector,
    HttpClient,
    PeerQuery,
    ReceiveBudget,
    ResponseHead,
    StalledResponseError,
)
from damaskjunction.node import refuses_connections
from damaskjunction.platform import (
    REPORT_PATH,
    CallerRequest,
    RunnerReport,
    RunnerResponseHead,
    decode_response_head,
    decode_runner_report,
    runner_headers,
)
from damaskjunction.routing import (
    NO_LIMIT_PER_S,
    LeavingRunners,
    LimitObservations,
    SupersededProcesses,
)

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.3
IDLE_TIMEOUT_S = 4.0
REPORT_STALL_TIMEOUT_S = 0.5
PROCESS_QUERY_TIMEOUT_S = 0.4  # the runner is told the time left before it
DISCARD_TIMEOUT_S = 0.2
MAX_RESPONSE_BYTES = 8 * MIB
MAX_REPORT_BYTES = 256 * KIB


class RunnerClient:
    """Sends requests to runners.

    Parameters
    ----------
    timers : Timers
        The process's timer service.
    leaving : LeavingRunners, optional
        Records the runners that say that they leave.
    connector : Connector, optional
        Opens the connections, direct ones by default.
    may_have_ended : callable, optional
        Returns whether the process at an address may have ended.
    budget : ReceiveBudget, optional
        Bounds what is kept of all responses.
    """

    def __init__(
        self,
        timers: Timers,
        leaving: LeavingRunners | None = None,
        *,
        connector: Connector | None = None,
        may_have_ended: Callable[[Address], Awaitable[bool]] = refuses_connections,
        budget: ReceiveBudget | None = None,
    ) -> None:
        self._client = HttpClient(
            timers,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
            connector=connector,
            budget=budget,
        )
        self._may_have_ended = may_have_ended
        self._timers = timers
        self.observed_limits = LimitObservations()
        self._leaving = leaving or LeavingRunners()
        self._superseded = SupersededProcesses()

    @property
    def n_connections_opened(self) -> int:
        """Number of connections opened so far."""
        return self._client.n_connections_opened

    @property
    def budget(self) -> ReceiveBudget:
        """Bounds what is kept of all responses."""
        return self._client.budget

    def close(self) -> None:
        """Close the idle connections."""
        self._client.close()

    async def send(
        self,
        runner: Runner,
        request: CallerRequest,
        *,
        remaining_s: float,
        stall_s: float,
        last_event_id: int | None = None,
        new_connection: bool = False,
        is_stream: bool = False,
        is_process_checked: bool = False,
        on_sent: Callable[[], None] | None = None,
    ) -> RunnerResponse:
        """Send a request and return once the head of the response has arrived.

        Parameters
        ----------
        runner : Runner
            The runner; another one at its address will not run the request.
        request : CallerRequest
            The request to send.
        remaining_s : float
            Seconds that the runner may work on the request.
        stall_s : float
            Stall timeout: seconds without a byte after which the call fails.
        last_event_id : int, optional
            Resume the stream after this event.
        new_connection : bool, optional
            Use a new connection; an idle one may be dead without being closed, or may
            have carried a request with the same id. One without an id always does.
        is_stream : bool, optional
            Whether only a stream of events counts as a success.
        is_process_checked : bool, optional
            Send the request only to the process that the runner's entry lists. Its
            report tells, which is asked for once on each connection.
        on_sent : callable, optional
            Called once connected, right before the request is sent.

        Raises
        ------
        RunnerFailedError
            When there is no response, the process is another one, the runner reports
            that it did no work, or the response is encoded, no stream, or not provably
            that to this request.
        """
        query = self._process_query(runner) if is_process_checked else None
        asked_at_ms = self._wall_ms()
        headers = runner_headers(
            request,
            runner.runner_id,
            remaining_s=remaining_s,
            last_event_id=last_event_id,
        )
        try:
            response = await self._client.send(
                runner.address,
                request.method,
                request.target,
                headers=headers,
                body=request.body,
                stall_s=stall_s,
                new_connection=new_connection or not request.request_id,
                before_send=on_sent,
                peer_query=query,
            )
        except ConnectFailedError as error:
            raise not_connected(error) from None
        except StalledResponseError as error:
            raise RunnerFailedError(
                Outcome.UNKNOWN, "silent", str(error), is_fault=True
            ) from None
        except BrokenResponseError as error:
            raise RunnerFailedError(
                Outcome.UNKNOWN, "no_answer", str(error), is_fault=True
            ) from None
        head = decode_response_head(response.status, response.headers)
        check_origin(head, response, request.request_id)
        if head.is_leaving and not head.is_misdirected:
            self._record_leaving(runner, asked_at_ms)
        if head.rate_limit_per_s is not None and not head.is_misdirected:
            self._record_limit(runner.runner_id, head.rate_limit_per_s)
        await self._check_head(head, response)
        if is_stream and head.status == 200:
            check_stream_type(response)
        if head.rate_limit_per_s is None:
            self._record_limit(runner.runner_id, NO_LIMIT_PER_S)
        return RunnerResponse(runner, head, response, is_process_checked)

    async def prepare(self, runner: Runner, *, is_process_checked: bool) -> None:
        """Keep a connection to a runner ready for the next request.

        Parameters
        ----------
        runner : Runner
            The runner.
        is_process_checked : bool
            Ask the runner now for its process, which has to be the listed one.

        Raises
        ------
        RunnerFailedError
            ``NOT_RUN`` when there is no connection, or no such process answers.
        """
        query = self._process_query(runner) if is_process_checked else None
        try:
            await self._client.prepare(runner.address, query)
        except ConnectFailedError as error:
            raise not_connected(error) from None

    def _record_limit(self, runner_id: RunnerId, limit_per_s: float) -> None:
        now_s = self._timers.now()
        if self.observed_limits.record(runner_id, limit_per_s, now_s):
            extra = {"runner": runner_id, "limit_per_s": str(limit_per_s)}
            logger.info("runner's limit changed", extra=extra)

    def _record_leaving(self, runner: Runner, asked_at_ms: int) -> None:
        if self._leaving.record_answer(runner, asked_at_ms, self._timers.now()):
            extra = {
                "runner": runner.runner_id,
                "service": runner.service,
                "born_ms": runner.born_ms,
            }
            logger.info("runner says it leaves", extra=extra)

    def _wall_ms(self) -> int:
        return int(self._timers.wall() / MILLISECOND_S)

    async def fetch_report(self, runner: Runner) -> RunnerReport:
        """Return a runner's report of its running and queued requests.

        Raises
        ------
        RunnerFailedError
            When the runner returns no valid report.
        """
        asked_at_ms = self._wall_ms()
        try:
            response = await self._client.send(
                runner.address, "GET", REPORT_PATH, stall_s=REPORT_STALL_TIMEOUT_S
            )
            head = decode_response_head(response.status, response.headers)
            if head.status != 200 or head.request_id:
                response.close()  # perhaps the answer to another request
                raise RunnerFailedError(Outcome.NOT_RUN, "no_report", f"{head.status}")
            body = await response.read(MAX_REPORT_BYTES)
        except (ConnectFailedError, BrokenResponseError) as error:
            raise RunnerFailedError(
                Outcome.NOT_RUN, "no_report", str(error), is_fault=True
            ) from None
        report = self._read_report(runner, head, body, asked_at_ms)
        if report is None:
            raise RunnerFailedError(Outcome.NOT_RUN, "no_report", "malformed")
        return report

    def _read_report(
        self, runner: Runner, head: RunnerResponseHead, body: bytes, asked_at_ms: int
    ) -> RunnerReport | None:
        """Process an answer to a request for a report; None if it is not one."""
        if head.status != 200 or head.request_id:
            return None
        if (report := decode_runner_report(head.status, body)) is None:
            return None
        self._superseded.record_answer(runner, report.born_ms)
        if head.rate_limit_per_s is not None:
            self._record_limit(runner.runner_id, head.rate_limit_per_s)
        if head.is_leaving and is_report_of(runner, head, report):
            self._record_leaving(runner, asked_at_ms)
        return report

    def _process_query(self, runner: Runner) -> PeerQuery:
        """Return the query for the start of the process at a runner's address.

        Raises
        ------
        RunnerFailedError
            ``NOT_RUN`` when a later process than the listed one has answered there.
        """
        if self._superseded.has(runner):
            raise RunnerFailedError(Outcome.NOT_RUN, "other_process", "known before")
        asked_at_ms = self._wall_ms()

        def decode(head: ResponseHead, body: bytes) -> int | None:
            runner_head = decode_response_head(head.status, head.headers)
            report = self._read_report(runner, runner_head, body, asked_at_ms)
            return None if report is None else report.born_ms

        return PeerQuery(
            REPORT_PATH,
            PROCESS_QUERY_TIMEOUT_S,
            MAX_REPORT_BYTES,
            decode,
            expected=runner.born_ms,
        )

    async def read_body(
        self,
        runner_response: RunnerResponse,
        timeout_s: float,
        on_data: Callable[[], None] | None = None,
    ) -> bytes:
        """Return the complete body of a response; ``on_data`` is called for each part.

        Raises
        ------
        RunnerFailedError
            When the response is incomplete after ``timeout_s``, is too large, or a
            success that ends with its connection before any byte.
        """
        try:
            async with asyncio.timeout(timeout_s):
                body = await runner_response.body.read(
                    MAX_RESPONSE_BYTES, on_data=on_data
                )
        except (StalledResponseError, TimeoutError) as error:
            raise RunnerFailedError(
                Outcome.RAN, "silent", repr(error), is_fault=True
            ) from None
        except BrokenResponseError as error:
            raise RunnerFailedError(
                Outcome.RAN, "answer_cut", repr(error), is_fault=True
            ) from None
        has_no_end = runner_response.body.ends_with_connection
        if has_no_end and not body and runner_response.head.status == 200:
            raise RunnerFailedError(
                Outcome.RAN, "answer_cut", "nothing after its head", is_fault=True
            )
        await self.check_end(runner_response)
        return body

    async def check_end(self, runner_response: RunnerResponse) -> None:
        """Check that a body that was read to its end is complete.

        One that ends with its connection is incomplete if its runner has crashed.

        Raises
        ------
        RunnerFailedError
            When the response is incomplete.
        """
        if not runner_response.body.ends_with_connection:
            return
        if await self._may_have_ended(runner_response.runner.address):
            raise RunnerFailedError(
                Outcome.RAN, "answer_cut", "the runner has ended", is_fault=True
            )

    async def _check_head(
        self, head: RunnerResponseHead, response: ClientResponse
    ) -> None:
        if head.is_not_run:
            await self._discard_body(response)
            reason = "other_runner" if head.is_misdirected else "runner_full"
            raise RunnerFailedError(Outcome.NOT_RUN, reason, f"{head.status}")
        if head.is_encoded:
            response.close()
            raise RunnerFailedError(Outcome.UNKNOWN, "encoded_answer")
        if head.status < 300 and not head.has_receipt:
            response.close()
            raise RunnerFailedError(Outcome.UNKNOWN, "no_receipt", f"{head.status}")

    async def _discard_body(self, response: ClientResponse) -> None:
        """Read a short body to its end, so that the connection can be reused."""
        try:
            async with asyncio.timeout(DISCARD_TIMEOUT_S):
                await response.read(MAX_REPORT_BYTES)
        except (BrokenResponseError, TimeoutError):
            response.close()  # the status suffices; the body is not needed
