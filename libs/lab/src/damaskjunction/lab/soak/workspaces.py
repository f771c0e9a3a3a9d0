"""Workspaces of a soak: whose requests callers send, and what runners are told."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from damaskjunction.core import WorkspaceName, stable_hash
from damaskjunction.lab.soak.checks import checks
from damaskjunction.lab.soak.history import History, Run
from damaskjunction.standins import key_headers, make_workspace

WORKSPACES: tuple[WorkspaceName, ...] = ("clubs", "buggies")


def make_workspaces() -> list[dict[str, Any]]:
    """Return the workspaces for the configuration."""
    return [make_workspace(name, _key_of(name)) for name in WORKSPACES]


def _key_of(workspace: WorkspaceName) -> str:
    return f"key-of-{workspace}"


def workspace_headers(history: History, name: str) -> dict[str, str]:
    """Return the key for a request, or for all calls on a job; record its workspace."""
    workspace = WORKSPACES[stable_hash(name) % len(WORKSPACES)]
    history.workspaces_by_id[name] = workspace
    return key_headers(_key_of(workspace))


@checks.register("workspaces are told")
def check_workspaces(history: History) -> Iterator[str]:
    """Find runs of which the runner was told another workspace, or the key.

    A former build may know no workspaces.
    """
    if history.mixed_builds:
        return
    for run in history.runs:
        workspace = _workspace_of(history, run)
        if workspace is None or run.workspace is None:
            continue
        if run.has_key:
            yield f"{run.request_id}: the runner was given a key"
        if run.workspace != workspace:
            yield f"{run.request_id}: of {workspace}, but told {run.workspace!r}"


def _workspace_of(history: History, run: Run) -> WorkspaceName | None:
    job_id = run.request_id.rpartition("-")[0]
    workspaces_by_id = history.workspaces_by_id
    return workspaces_by_id.get(run.request_id, workspaces_by_id.get(job_id))
