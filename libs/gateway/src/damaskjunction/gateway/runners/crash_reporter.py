"""Reports of runner crashes, and of the answers that clear requests, to the home.

A lost connection is a crash only when the runner refuses new connections of this host
and of others. The requests that a runner's crash ended are reported together, until the
home has the report.
"""

from __future__ import annotations

import asyncio
import logging
from typing import NamedTuple

from damaskjunction.core import RequestError, Runner, RunnerId, ServiceName, Timers
from damaskjunction.gateway.runners.suspect_registry import SuspectRegistry
from damaskjunction.gateway.slots.slot_client import SlotClient
from damaskjunction.gateway.state import ServingState
from damaskjunction.node import PeerHandlers, TaskSet
from damaskjunction.relay import PathDiagnosis
from damaskjunction.routing import CrashReport, RequestTraits
from damaskjunction.wire import Noted, PeerLinks, Reply, TraitsAnswered

logger = logging.getLogger(__name__)

LANE = "control"
SEND_TIMEOUT_S = 0.5
SEND_RETRY_S = 0.3
MAX_REPORT_AGE_S = 30.0


class LostRequest(NamedTuple):
    """A request whose connection broke; ``is_answered`` if its answer was under way."""

    traits: tuple[str, ...]
    is_answered: bool


class CrashReporter:
    """Diagnoses lost connections to runners and reports crashes to the home.

    Parameters
    ----------
    state : ServingState
        Known hosts and runners.
    suspects : SuspectRegistry
        Records the reports of services whose home is this host.
    slot_client : SlotClient
        Knows the homes of services.
    links : PeerLinks
        Links to other hosts.
    timers : Timers
        The process's timer service.
    diagnosis : PathDiagnosis
        Tells whether a runner has ended.
    """

    def __init__(
        self,
        state: ServingState,
        suspects: SuspectRegistry,
        slot_client: SlotClient,
        links: PeerLinks,
        timers: Timers,
        *,
        diagnosis: PathDiagnosis,
    ) -> None:
        self._state = state
        self._suspects = suspects
        self._slot_client = slot_client
        self._links = links
        self._timers = timers
        self._diagnosis = diagnosis
        self._lost_by_runner: dict[RunnerId, list[LostRequest]] = {}
        self._diagnoses_by_runner: dict[RunnerId, asyncio.Task[bool]] = {}
        self._sending = TaskSet()

    async def start(self) -> None:
        """Do nothing; reports are sent as they come."""

    async def close(self) -> None:
        """Cancel the diagnoses and reports under way."""
        await self._sending.close()

    def register(self, handlers: PeerHandlers) -> None:
        """Register the handlers for reports of other hosts."""
        handlers.register(CrashReport)(self._handle_report)
        handlers.register(TraitsAnswered)(self._handle_report)

    def report_lost(self, runner: Runner, lost: LostRequest) -> asyncio.Task[bool]:
        """Report a request that lost its runner, if that proves to be a crash.

        Returns the task that finds out; it is shared and must not be cancelled.
        """
        self._lost_by_runner.setdefault(runner.runner_id, []).append(lost)
        diagnosis = self._diagnoses_by_runner.get(runner.runner_id)
        if diagnosis is None:
            diagnosis = asyncio.ensure_future(self._diagnose(runner))
            self._diagnoses_by_runner[runner.runner_id] = diagnosis
        return diagnosis

    def report_answered(self, service: ServiceName, traits: tuple[str, ...]) -> None:
        """Report that a runner is answering a request whose traits are watched."""
        report = TraitsAnswered(service, traits, 0.0)
        self._sending.begin(self._send(report, self._timers.now()))

    async def _diagnose(self, runner: Runner) -> bool:
        """Return whether a runner has crashed, and report it if so."""
        lost_at_s = self._timers.now()
        try:
            has_crashed = await self._diagnosis.has_ended(runner.address)
        finally:
            del self._diagnoses_by_runner[runner.runner_id]
            lost = self._lost_by_runner.pop(runner.runner_id)
        if not has_crashed:
            extra = {"runner": runner.runner_id, "n_requests": len(lost)}
            logger.info("connections lost, but no crash is proved", extra=extra)
            return False
        accused = {request.traits for request in lost if not request.is_answered}
        answered = {
            trait for request in lost if request.is_answered for trait in request.traits
        }
        report = CrashReport(
            runner.service,
            runner.runner_id,
            tuple(RequestTraits(traits) for traits in sorted(accused)),
            tuple(sorted(answered)),
            0.0,
        )
        self._sending.begin(self._send(report, lost_at_s))
        return True

    async def _send(self, report: CrashReport | TraitsAnswered, at_s: float) -> None:
        """Send a report until the home has it or it is too old."""
        while (age_s := self._timers.now() - at_s) < MAX_REPORT_AGE_S:
            if await self._deliver(report._replace(age_s=age_s)):
                return
            await asyncio.sleep(SEND_RETRY_S)
        extra = {"service": report.service_name, "report": type(report).__name__}
        logger.warning("report given up", extra=extra)

    async def _deliver(self, report: CrashReport | TraitsAnswered) -> bool:
        """Return whether the current home has got a report."""
        home = self._slot_client.home_of(report.service_name)
        if home is None:
            return False
        if home.host_id == self._state.view.own.host_id:
            self._record(report)
            return True
        try:
            async with asyncio.timeout(SEND_TIMEOUT_S):
                await self._links.ask(home.peer, LANE, report)
        except (RequestError, TimeoutError) as error:
            extra = {"host": home.host_id, "error": repr(error)}
            logger.info("report not delivered", extra=extra)
            return False
        return True

    def _record(self, report: CrashReport | TraitsAnswered) -> None:
        if isinstance(report, CrashReport):
            self._suspects.record_crash(report)
        else:
            self._suspects.record_answer(report)

    async def _handle_report(
        self, report: CrashReport | TraitsAnswered, reply: Reply
    ) -> None:
        self._record(report)
        await reply(Noted())
