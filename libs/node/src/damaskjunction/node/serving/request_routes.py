"""Choice of the runner and the home of each attempt, and their ejection on failures."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple

from damaskjunction.core import (
    EntryHost,
    Outcome,
    RequestError,
    Runner,
    RunnerId,
    ServiceName,
    Timers,
    rendezvous_order,
)
from damaskjunction.node.serving.caller_request import CallerRequest
from damaskjunction.node.serving.selection import RunnerSelector
from damaskjunction.node.state import HostView
from damaskjunction.routing import EjectionPolicy, OutlierEjection

RUNNER_EJECTION = EjectionPolicy(n_failures=1)
HOME_EJECTION = EjectionPolicy(n_failures=1, base_s=2.0)

HOME_FAILURE_REASONS = frozenset(("link_lost", "peer_unreachable", "leaving"))
RUNNER_FAILURE_REASONS = frozenset(
    (
        "runner_lost",
        "runner_unreachable",
        "runner_refused",
        "runner_crashed",
        "runner_silent",
        "stream_cut",
        "unknown_runner",
    )
)


class RequestRoute(NamedTuple):
    """Runner and home of an attempt; ``home`` is None when it is this host."""

    runner: Runner
    home: EntryHost | None


class RequestRoutes:
    """Chooses routes among the runners and homes that did not fail lately.

    Parameters
    ----------
    view : HostView
        Known runners and hosts.
    selection : RunnerSelector
        Ranks runners and knows their homes.
    timers : Timers
        Timer service of the process.
    """

    def __init__(
        self, view: HostView, selection: RunnerSelector, timers: Timers
    ) -> None:
        self._view = view
        self._selection = selection
        self._timers = timers
        self._runner_ejection = OutlierEjection(RUNNER_EJECTION)
        self._home_ejection = OutlierEjection(HOME_EJECTION)

    def to_document(self) -> dict[str, Any]:
        """Return the ejections for the state dump."""
        now_s = self._timers.now()
        return {
            "ejected_runners": self._runner_ejection.ejected(now_s),
            "avoided_homes": self._home_ejection.ejected(now_s),
        }

    def choose(
        self, request: CallerRequest, tried: set[RunnerId], *, exclusive: bool
    ) -> RequestRoute:
        """Return the route of the next attempt of a request.

        Parameters
        ----------
        request : CallerRequest
            The request.
        tried : set of str
            Runners that failed it; emptied when no other is left.
        exclusive : bool
            Whether it is a suspect, which needs exclusive use of its runner.

        Raises
        ------
        RequestError
            ``NOT_RUN`` when no runner serves it.
        """
        ranked = self._selection.rank_runners(
            request.service, request.work_class, request.prompt
        )
        if not ranked:
            detail = f"no runner currently serves {request.service!r}"
            raise RequestError(Outcome.NOT_RUN, "no_runner", detail, retry_after_s=2.0)
        now_s = self._timers.now()
        healthy = self._runner_ejection.healthy(ranked, _runner_id, now_s)
        untried = [runner for runner in healthy if runner.runner_id not in tried]
        if not untried:
            tried.clear()
        runner = _preferred_runner(
            request.service, untried or healthy, exclusive=exclusive
        )
        return RequestRoute(runner, self._home_for(runner))

    def record_failure(
        self, route: RequestRoute, reason: str, tried: set[RunnerId]
    ) -> None:
        """Eject the home or the runner of a failed attempt if the reason is theirs."""
        now_s = self._timers.now()
        if reason in HOME_FAILURE_REASONS and route.home is not None:
            self._home_ejection.record_failure(route.home.host_id, now_s)
        if reason in RUNNER_FAILURE_REASONS:
            self._runner_ejection.record_failure(route.runner.runner_id, now_s)
            tried.add(route.runner.runner_id)

    def record_success(self, route: RequestRoute) -> None:
        """Record that an attempt had a whole answer."""
        self._runner_ejection.record_success(route.runner.runner_id)
        if route.home is not None:
            self._home_ejection.record_success(route.home.host_id)

    def _home_for(self, runner: Runner) -> EntryHost | None:
        hosts = self._view.serving_hosts()
        now_s = self._timers.now()
        healthy = self._home_ejection.healthy(hosts, _host_id, now_s)
        home = self._selection.admitting_host(runner, healthy)
        is_own = home is not None and home.host_id == self._view.own.host_id
        return None if is_own else home


def _preferred_runner(
    service: ServiceName, runners: Sequence[Runner], *, exclusive: bool
) -> Runner:
    """Return the runner for an attempt from candidates in order of preference.

    Suspect requests of a service all go to one runner, picked by rendezvous hashing,
    so that exclusive access does not block the other runners.
    """
    if not exclusive:
        return runners[0]
    by_id = {runner.runner_id: runner for runner in runners}
    order = rendezvous_order(service, [(runner_id, 1.0) for runner_id in by_id])
    return by_id[order[0]]


def _runner_id(runner: Runner) -> str:
    return runner.runner_id


def _host_id(host: EntryHost) -> str:
    return host.host_id
