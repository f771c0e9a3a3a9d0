"""Suspicions: how long each suspect has to refute that it has failed."""

from __future__ import annotations

from typing import NamedTuple

from damaskjunction.core import HostId


class Suspicion(NamedTuple):
    """When a suspect is probed once more, and when it is declared dead."""

    reprobe_at_s: float
    ends_at_s: float
    is_reprobed: bool = False


class DueSuspicion(NamedTuple):
    """A suspect to declare dead if ``has_expired``, or else to probe once more."""

    host_id: HostId
    has_expired: bool


class SuspicionTable:
    """Pending suspicions by host.

    Parameters
    ----------
    timeout_s : float
        How long a suspicion lasts, before the factor for awareness.
    """

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._suspicions_by_id: dict[HostId, Suspicion] = {}

    def __len__(self) -> int:
        return len(self._suspicions_by_id)

    def begin(self, host_id: HostId, now_s: float, awareness: int) -> None:
        """Suspect a host, unless it is suspected already."""
        if host_id not in self._suspicions_by_id:
            self._suspicions_by_id[host_id] = self._make_suspicion(now_s, awareness)

    def end(self, host_id: HostId) -> None:
        """Remove the suspicion of a host, if any."""
        self._suspicions_by_id.pop(host_id, None)

    def restart(self, now_s: float, awareness: int) -> None:
        """Let all suspicions begin anew."""
        for host_id in self._suspicions_by_id:
            self._suspicions_by_id[host_id] = self._make_suspicion(now_s, awareness)

    def take_due(self, now_s: float) -> list[DueSuspicion]:
        """Return the suspects to declare dead and those to probe once more.

        An expired suspicion stays until ``end``.
        """
        due = []
        for host_id, suspicion in self._suspicions_by_id.items():
            if now_s >= suspicion.ends_at_s:
                due.append(DueSuspicion(host_id, has_expired=True))
            elif now_s >= suspicion.reprobe_at_s and not suspicion.is_reprobed:
                self._suspicions_by_id[host_id] = suspicion._replace(is_reprobed=True)
                due.append(DueSuspicion(host_id, has_expired=False))
        return due

    def _make_suspicion(self, now_s: float, awareness: int) -> Suspicion:
        duration_s = self._timeout_s * (1 + awareness)
        return Suspicion(now_s + duration_s / 2, now_s + duration_s)
