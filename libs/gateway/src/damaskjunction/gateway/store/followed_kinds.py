"""The kinds of objects in the platform's store that a host follows."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.gateway.jobs.job_repository import JobRepository
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.store.kind_state import KindState
from damaskjunction.platform import (
    CONFIGURATION_KIND,
    JOBS_KIND,
    RUNNERS_KIND,
    without_items,
)

JOBS_COALESCE_S = 1.0
HOSTS_COALESCE_S = 0.4
RUNNERS_COALESCE_S = 0.1
CONFIGURATION_COALESCE_S = 0.2
SUSPECTS_COALESCE_S = 0.2
VERSIONS_COALESCE_S = 0.05
URGENT_WATCH_WAIT_S = 2.5  # of kinds whose changes have to be in force within seconds
VERSIONS_WATCH_WAIT_S = 3.0  # within the lag that the ledger of versions allows for
WATCH_WAIT_S = 8.0


class FollowedKind(NamedTuple):
    """A kind that is followed; changes within ``coalesce_s`` seconds come at once.

    ``watch_wait_s`` is the longest wait of a watch in seconds.
    """

    coalesce_s: float
    state: KindState
    watch_wait_s: float = WATCH_WAIT_S


def followed_kinds(
    state: ServingState,
    job_repository: JobRepository,
    *,
    hosts: KindState,
    suspects: KindState,
    versions: KindState,
) -> tuple[FollowedKind, ...]:
    """Return the kinds that a host follows, by importance.

    Parameters
    ----------
    state : ServingState
        Receives the configuration and the runners.
    job_repository : JobRepository
        Receives the jobs.
    hosts, suspects, versions : KindState
        The kinds of the system's own that others own.
    """
    runners = KindState(RUNNERS_KIND, state.replace_runners, state.apply_runner_change)
    configuration = KindState(
        CONFIGURATION_KIND,
        state.apply_configurations,
        state.apply_configuration_change,
    )
    jobs = KindState(
        JOBS_KIND,
        job_repository.replace_all,
        job_repository.apply_change,
        without_items,
    )
    return (
        FollowedKind(CONFIGURATION_COALESCE_S, configuration, URGENT_WATCH_WAIT_S),
        FollowedKind(RUNNERS_COALESCE_S, runners, URGENT_WATCH_WAIT_S),
        FollowedKind(HOSTS_COALESCE_S, hosts),
        FollowedKind(SUSPECTS_COALESCE_S, suspects),
        FollowedKind(VERSIONS_COALESCE_S, versions, VERSIONS_WATCH_WAIT_S),
        FollowedKind(JOBS_COALESCE_S, jobs),
    )
