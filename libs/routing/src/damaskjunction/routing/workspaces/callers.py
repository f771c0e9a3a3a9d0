"""Who a caller is by its key, and which routes and batch jobs it may reach."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from damaskjunction.core import WorkspaceName, WorkspaceSpec
from damaskjunction.routing.routes import Route, RouteKind, RouteTable
from damaskjunction.routing.workspaces.keys import bearer_key


class KeyDenial(StrEnum):
    """Why a caller has no workspace."""

    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"


class Caller(NamedTuple):
    """A caller, known by its key.

    ``denial`` tells why it has no ``workspace``. Both are None as long as no workspaces
    are configured: any caller may then reach anything.
    """

    workspace: WorkspaceSpec | None = None
    denial: KeyDenial | None = None

    @property
    def workspace_name(self) -> WorkspaceName:
        """The name of its workspace, empty without one."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def is_restricted(self) -> bool:
        """Whether workspaces are configured, so that its key decides."""
        return self.workspace is not None or self.denial is not None

    def may_use(self, route: Route) -> bool:
        """Return whether its requests on a route are served."""
        return self.denial is None or route.is_public

    def may_reach_job(self, owner: WorkspaceName, *, is_public: bool) -> bool:
        """Return whether it may read and end a job of the workspace ``owner``.

        Jobs on public routes are for all callers, as are those without a workspace:
        they were accepted before there were any, or by a former build.
        """
        if is_public or not self.is_restricted:
            return True
        return self.workspace is not None and owner in ("", self.workspace.name)

    def may_have_sent(self, owner: WorkspaceName) -> bool:
        """Return whether a job of ``owner`` may be what it sends once more."""
        return not self.workspace_name or owner in ("", self.workspace_name)


def identify_caller(table: RouteTable, authorization: str) -> Caller:
    """Return the caller who sends an ``Authorization`` header, empty for none."""
    if not table.workspaces_by_name:
        return Caller()
    key = bearer_key(authorization)
    if not key:
        return Caller(denial=KeyDenial.NO_KEY)
    workspace = table.keys.find(key)
    if workspace is None:
        return Caller(denial=KeyDenial.UNKNOWN_KEY)
    return Caller(workspace)


def has_public_jobs(table: RouteTable) -> bool:
    """Return whether a route takes batch jobs from callers without a key."""
    return any(
        route.is_public and route.kind is RouteKind.BATCH
        for routes in table.routes_by_host.values()
        for route in routes
    )


def prioritize(route: Route, workspace: WorkspaceSpec | None) -> Route:
    """Return a route with the priority that it has for a workspace."""
    if workspace is None or workspace.priority is None:
        return route
    return route._replace(priority=workspace.priority)
