"""Named deployments: their hosts, runners and configuration."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from typing import Any, NamedTuple

from damaskjunction.core import Registry

CALLER_KEY = "demo-key"
# With the default of 60 s, a failed host's batch work is taken over only after 60 s.
SMALL_LEASE_S = 4
# Without a ceiling, batch would be limited to the highest online usage so far.
BATCH_TOKENS_PER_MINUTE = 10_000_000


class RunnerGroup(NamedTuple):
    """Identical runners ``PREFIX-0`` and so on; engines if ``service`` is empty."""

    prefix: str
    n_runners: int
    service: str = ""


class Deployment(NamedTuple):
    """Size of a deployment and the configuration that its operators apply."""

    region: str
    data_centres: tuple[str, ...]
    n_hosts: int
    runners: tuple[RunnerGroup, ...]
    configuration: Mapping[str, Any]


deployments: Registry[Deployment] = Registry("deployment")


def _make_workspaces(*names: str) -> dict[str, Any]:
    """Return workspaces; the first has the key ``CALLER_KEY``, others ``NAME-key``."""
    digest = hashlib.sha256(CALLER_KEY.encode()).hexdigest()
    first, *others = names
    documents: dict[str, Any] = {first: {"share": 2, "key_digests": [digest]}}
    for name in others:
        key_digest = hashlib.sha256(f"{name}-key".encode()).hexdigest()
        documents[name] = {"key_digests": [key_digest]}
    return documents


LIMA = Deployment(
    region="lima",
    data_centres=("lima-1", "lima-2", "lima-3"),
    n_hosts=9,
    runners=(
        RunnerGroup("caddie", 5),
        RunnerGroup("fleet-api", 3, "fleet-api"),
    ),
    configuration={
        "models": {"caddie": {"version": "v1", "weights_gb": 1}},
        "services": {
            "fleet-api": {
                "kind": "plain",
                "min_runners": 3,
                "calls": [
                    {"path": "/battery", "idempotent": True},
                    {"path": "/pace-alert", "idempotent": False},
                    {"path": "/pickup", "idempotent": False},
                ],
            },
            "caddie-llm": {
                "kind": "engine",
                "model": "caddie",
                "min_runners": 3,
                "max_runners": 5,
                "depends_on": ["fleet-api"],
                "deadline_s": 10,
            },
        },
        "workspaces": _make_workspaces("carritos", "clubs"),
        "batch": {"ceiling_per_minute": BATCH_TOKENS_PER_MINUTE},
    },
)

MU_NORTH = Deployment(
    region="mu-north",
    data_centres=("mu-1", "mu-2", "mu-3", "mu-4"),
    n_hosts=9,
    runners=(
        RunnerGroup("fitter", 6),
        RunnerGroup("catalogue", 4, "catalogue-app"),
    ),
    configuration={
        "models": {"fitter": {"version": "v1", "weights_gb": 1}},
        "services": {
            "catalogue-app": {
                "kind": "plain",
                "min_runners": 4,
                "calls": [{"path": "/order", "idempotent": False}],
            },
            "fitter-llm": {
                "kind": "engine",
                "model": "fitter",
                "min_runners": 4,
                "max_runners": 6,
                "depends_on": ["catalogue-app"],
                "deadline_s": 10,
            },
        },
        "workspaces": _make_workspaces("belt-seeker", "distributors"),
        "batch": {"ceiling_per_minute": BATCH_TOKENS_PER_MINUTE},
    },
)

SMALL = LIMA._replace(
    n_hosts=3,
    runners=(RunnerGroup("caddie", 2), RunnerGroup("fleet-api", 1, "fleet-api")),
    configuration={
        **LIMA.configuration,
        "batch": {**LIMA.configuration["batch"], "lease_s": SMALL_LEASE_S},
        "services": {
            "fleet-api": {
                **LIMA.configuration["services"]["fleet-api"],
                "min_runners": 1,
            },
            "caddie-llm": {
                **LIMA.configuration["services"]["caddie-llm"],
                "min_runners": 1,
                "max_runners": 2,
            },
        },
    },
)

CONTROL = LIMA._replace(n_hosts=6, runners=())

deployments.register("control")(CONTROL)

IDLE_ENGINES = LIMA._replace(
    n_hosts=3,
    configuration={
        **LIMA.configuration,
        "services": {
            **LIMA.configuration["services"],
            "caddie-llm": {
                **LIMA.configuration["services"]["caddie-llm"],
                "min_runners": 2,
                "max_runners": 3,
            },
        },
    },
)

deployments.register("idle-engines")(IDLE_ENGINES)
deployments.register("lima")(LIMA)
deployments.register("mu-north")(MU_NORTH)
deployments.register("small")(SMALL)
deployments.register("lima-three-hosts")(LIMA._replace(n_hosts=3))
deployments.register("lima-five-hosts")(LIMA._replace(n_hosts=5))


def deployed_names(name: str) -> tuple[str, ...]:
    """Return the ids of all hosts and runners of a deployment."""
    deployment = deployments.get(name)
    centres = deployment.data_centres
    hosts = (
        f"{centres[number % len(centres)]}-{number}"
        for number in range(deployment.n_hosts)
    )
    runners = (
        f"{group.prefix}-{number}"
        for group in deployment.runners
        for number in range(group.n_runners)
    )
    return (*hosts, *runners)
