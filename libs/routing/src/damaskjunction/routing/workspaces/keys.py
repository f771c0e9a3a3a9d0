"""The keys of workspaces, known by their digests alone."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import WorkspaceSpec
from damaskjunction.core.types import EMPTY

_SCHEME = "bearer"


def digest_of_key(key: str) -> str:
    """Return the hexadecimal SHA-256 digest of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def bearer_key(authorization: str) -> str:
    """Return the key in an ``Authorization: Bearer`` header, empty if it holds none."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == _SCHEME else ""


class WorkspaceKeys(NamedTuple):
    """The workspaces by the digests of their keys."""

    workspaces_by_digest: Mapping[str, WorkspaceSpec] = EMPTY

    @classmethod
    def from_workspaces(cls, workspaces: Iterable[WorkspaceSpec]) -> WorkspaceKeys:
        """Return the keys of workspaces."""
        return cls(
            {
                digest: workspace
                for workspace in workspaces
                for digest in workspace.key_digests
            }
        )

    def find(self, key: str) -> WorkspaceSpec | None:
        """Return the workspace of a key, None for an unknown or empty one."""
        return self.workspaces_by_digest.get(digest_of_key(key)) if key else None
