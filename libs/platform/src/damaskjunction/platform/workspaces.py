"""Workspaces in the platform's formats: keys of callers, names told to runners."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from damaskjunction.core import (
    WorkspaceName,
    WorkspaceSpec,
    read_list,
    read_number,
    read_text,
)
from damaskjunction.platform.header_values import read_header_value
from damaskjunction.platform.requests import CallerRequest
from damaskjunction.routing import digest_of_key

AUTHORIZATION_HEADER = "authorization"
WORKSPACE_HEADER = "x-tenant"


def decode_workspace(entry: Mapping[str, Any]) -> WorkspaceSpec:
    """Decode a workspace of the configuration; only digests of its keys are kept.

    Raises one of ``SHAPE_ERRORS`` if the entry is malformed.
    """
    priority = entry.get("Priority")
    keys = read_list(entry.get("ApiKeys") or [])
    return WorkspaceSpec(
        name=read_header_value(entry["Name"]),
        key_digests=tuple(
            digest_of_key(read_text(key, may_be_empty=False)) for key in keys
        ),
        requests_per_s=read_number(entry.get("RatePerS") or 0.0),
        burst=read_number(entry.get("Burst") or 0.0),
        priority=None if priority is None else int(priority),
    )


def authorization_of(headers: Mapping[str, str]) -> str:
    """Return the ``Authorization`` header of a request, empty if it has none."""
    return headers.get(AUTHORIZATION_HEADER, "")


def for_workspace(request: CallerRequest, workspace: WorkspaceName) -> CallerRequest:
    """Return a request as runners are to get it on behalf of a workspace.

    It holds no key, and no workspace's name but the given one; none if that is empty.
    """
    headers = {
        name: value
        for name, value in request.headers.items()
        if name not in (AUTHORIZATION_HEADER, WORKSPACE_HEADER)
    }
    if workspace:
        headers[WORKSPACE_HEADER] = workspace
    return request._replace(headers=headers)
