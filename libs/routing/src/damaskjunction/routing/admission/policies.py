"""Admission policies: which host admits to a runner, and within which limits."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.core import EntryHost, Registry, Runner
from damaskjunction.routing.admission.limits import (
    AdaptiveLimits,
    ConcurrencyLimits,
    FixedLimits,
    LatencyTargets,
)
from damaskjunction.routing.runners.homes import home_of


class LimitInput(NamedTuple):
    """Input for the concurrency limits of a runner.

    ``slots`` is the runner's declared maximum number of concurrent requests;
    ``n_hosts`` is the number of live hosts.
    """

    slots: int
    targets: LatencyTargets
    n_hosts: int


AdmittingHostChoice: TypeAlias = Callable[
    [Runner, Sequence[EntryHost], EntryHost], EntryHost | None
]


class AdmissionPolicy(NamedTuple):
    """How requests are admitted to a runner.

    ``admitting_host`` picks the admitting host of a runner, given the serving hosts and
    this host. With ``uses_runner_reports``, requests that the runner reports beyond
    those the admitting host sent reduce its capacity. With ``uses_home_load``, runners
    are chosen by the load that their admitting hosts report; otherwise by the runners'
    own reports. ``runner_choice`` names a policy in ``runner_choices``.
    """

    admitting_host: AdmittingHostChoice
    make_limits: Callable[[LimitInput], ConcurrencyLimits]
    uses_runner_reports: bool
    uses_home_load: bool
    runner_choice: str


admission_policies: Registry[AdmissionPolicy] = Registry("admission policy")


def _home_host(
    runner: Runner, hosts: Sequence[EntryHost], own: EntryHost
) -> EntryHost | None:
    return home_of(runner, hosts)


def _own_host(
    runner: Runner, hosts: Sequence[EntryHost], own: EntryHost
) -> EntryHost | None:
    return own


def _adaptive_limits(limit_input: LimitInput) -> ConcurrencyLimits:
    return AdaptiveLimits(limit_input.slots, limit_input.targets)


def _static_share(limit_input: LimitInput) -> ConcurrencyLimits:
    return FixedLimits(max(1, limit_input.slots // max(1, limit_input.n_hosts)))


def _all_slots(limit_input: LimitInput) -> ConcurrencyLimits:
    return FixedLimits(limit_input.slots)


admission_policies.register("home")(
    AdmissionPolicy(
        _home_host,
        _adaptive_limits,
        uses_runner_reports=True,
        uses_home_load=True,
        runner_choice="prefix_affinity",
    )
)
admission_policies.register("static_share")(
    AdmissionPolicy(
        _own_host,
        _static_share,
        uses_runner_reports=False,
        uses_home_load=False,
        runner_choice="least_loaded",
    )
)
admission_policies.register("least_reported_load")(
    AdmissionPolicy(
        _own_host,
        _all_slots,
        uses_runner_reports=True,
        uses_home_load=False,
        runner_choice="least_loaded",
    )
)
admission_policies.register("fixed_limit")(
    AdmissionPolicy(
        _home_host,
        _all_slots,
        uses_runner_reports=True,
        uses_home_load=True,
        runner_choice="prefix_affinity",
    )
)
