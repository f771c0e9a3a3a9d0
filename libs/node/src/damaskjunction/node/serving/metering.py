"""Meters the usage of runners by this host's requests."""

from __future__ import annotations

import logging
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Protocol

from damaskjunction.batch import (
    HostBudget,
    PeakPolicy,
    Usage,
    UsageHistory,
    UsageMeter,
    billing_minute,
    peak_policies,
    usage_meters,
)
from damaskjunction.core import BatchSpec, Timers, UnknownNameError, WorkClass
from damaskjunction.node.serving.caller_request import CallerRequest
from damaskjunction.node.serving.entry import RequestRouter
from damaskjunction.node.state import HostView
from damaskjunction.routing import AnswerPart, Token
from damaskjunction.telemetry import Metrics

logger = logging.getLogger(__name__)

# Assumed slot time until the first token, and the initial estimate per token.
FIRST_TOKEN_BUSY_S = 0.05
BUSY_SMOOTHING_FACTOR = 0.05  # weight of a new value in the moving average per token


class RequestRunner(Protocol):
    """Runs requests, as ``RequestRouter`` does."""

    def run(self, request: CallerRequest) -> AsyncGenerator[AnswerPart, None]:
        """Yield the messages of a complete response."""


class Meter:
    """Usage of this host by billing minute, in units of the configured meter.

    Parameters
    ----------
    view : HostView
        Configured meter and length of a billing minute.
    timers : Timers
        The process's timer service.
    metrics : Metrics
        Counts the usage.
    """

    def __init__(self, view: HostView, timers: Timers, metrics: Metrics) -> None:
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._busy_s_per_token = FIRST_TOKEN_BUSY_S
        self._observers: list[Callable[[float], None]] = []
        self._meter: UsageMeter = usage_meters.get(BatchSpec().meter)
        self._policy: PeakPolicy = peak_policies.get(BatchSpec().peak_policy)
        view.subscribe(self._apply_configuration)
        self.history = UsageHistory()
        self.budget = HostBudget()

    def subscribe(self, observer: Callable[[float], None]) -> None:
        """Call the observer with each amount of online usage."""
        self._observers.append(observer)

    def minute(self) -> int:
        """Return the number of the current billing minute."""
        return billing_minute(
            self._timers.wall(), self._view.configuration.batch.minute_s
        )

    def measure(self, usage: Usage) -> float:
        """Return a usage in units of the meter."""
        return self._meter(usage)

    def policy(self) -> PeakPolicy:
        """Return the policy that computes the budget of each billing minute."""
        return self._policy

    def _apply_configuration(self) -> None:
        """Apply the configured meter and policy; an unknown name is not applied."""
        spec = self._view.configuration.batch
        try:
            self._meter = usage_meters.get(spec.meter)
            self._policy = peak_policies.get(spec.peak_policy)
        except UnknownNameError as error:
            logger.error(
                "batch section of the configuration not applied",
                extra={"error": str(error)},
            )

    def estimate_cost(self, n_tokens: int) -> float:
        """Return an upper estimate of an attempt's usage for ``n_tokens`` tokens."""
        busy_s = FIRST_TOKEN_BUSY_S + 2 * self._busy_s_per_token * n_tokens
        return self.measure(Usage(1, n_tokens, busy_s))

    def record_usage(self, request: CallerRequest, usage: Usage) -> None:
        """Record the usage of a request in the current minute."""
        used = self.measure(usage)
        if usage.n_tokens:
            self._busy_s_per_token += BUSY_SMOOTHING_FACTOR * (
                usage.busy_s - self._busy_s_per_token
            )
        self._metrics.count("usage_total", used, work_class=request.work_class.value)
        if request.work_class is WorkClass.BATCH:
            self.history.add_batch(self.minute(), used)
            self.budget.enter_minute(self.minute())
            self.budget.spend(request.request_id, used)
            return
        self.history.add_online(self.minute(), used)
        for observer in self._observers:
            observer(used)


class MeteredRequestRunner:
    """Runs requests and records their usage as their responses arrive.

    Parameters
    ----------
    router : RequestRouter
        Runs the requests.
    meter : Meter
        Records the usage.
    timers : Timers
        The process's timer service.
    """

    def __init__(self, router: RequestRouter, meter: Meter, timers: Timers) -> None:
        self._router = router
        self._meter = meter
        self._timers = timers

    async def run(self, request: CallerRequest) -> AsyncGenerator[AnswerPart, None]:
        """Yield the messages of a complete response.

        Raises
        ------
        RequestError
            As ``RequestRouter.run`` does.
        """
        last_s = 0.0
        async with aclosing(self._router.run(request)) as messages:
            async for message in messages:
                now_s = self._timers.now()
                is_first = not last_s
                busy_s = 0.0 if is_first else now_s - last_s
                n_tokens = int(isinstance(message, Token))
                self._meter.record_usage(
                    request, Usage(int(is_first), n_tokens, busy_s)
                )
                last_s = now_s
                yield message
