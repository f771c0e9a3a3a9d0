"""Policies of admission: which host admits to a runner, and within what limits."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeAlias

from damaskjunction.core import EntryHost, Registry, Runner
from damaskjunction.routing.homes import home_of
from damaskjunction.routing.limits import (
    FixedLimits,
    LearnedLimits,
    Limits,
    Targets,
)

UNLIMITED = 1_000_000


class LimitInput(NamedTuple):
    """What a runner's limits are made from."""

    slots: int
    targets: Targets
    n_hosts: int


AdmittingHost: TypeAlias = Callable[
    [Runner, Sequence[EntryHost], EntryHost], EntryHost | None
]


class AdmissionPolicy(NamedTuple):
    """How requests get to a runner.

    ``admitting_host`` picks a host for a runner, given the serving hosts and the own
    one. ``sees_all`` says that it has all of the runner's work, so that what the
    runner reports above that is a surprise. ``tells_load`` says that its word on the
    load counts; without, hosts read the runners' own reports.
    """

    admitting_host: AdmittingHost
    make_limits: Callable[[LimitInput], Limits]
    sees_all: bool
    tells_load: bool
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


def _learned_limits(given: LimitInput) -> Limits:
    return LearnedLimits(given.slots, given.targets)


def _static_share(given: LimitInput) -> Limits:
    return FixedLimits(max(1, given.slots // max(1, given.n_hosts)))


def _no_limits(given: LimitInput) -> Limits:
    return FixedLimits(UNLIMITED)


admission_policies.register("home")(
    AdmissionPolicy(
        _home_host,
        _learned_limits,
        sees_all=True,
        tells_load=True,
        runner_choice="prefix_affinity",
    )
)
admission_policies.register("static_share")(
    AdmissionPolicy(
        _own_host,
        _static_share,
        sees_all=False,
        tells_load=False,
        runner_choice="least_loaded",
    )
)
admission_policies.register("least_reported_load")(
    AdmissionPolicy(
        _own_host,
        _no_limits,
        sees_all=False,
        tells_load=False,
        runner_choice="least_loaded",
    )
)
