"""How many slots the waiting online requests want, at runners of which version."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from damaskjunction.core import RunnerId
from damaskjunction.routing.slots.slot_types import SlotTicket
from damaskjunction.routing.versions.stream_versions import RunnerVersions


class SlotDemand:
    """The slots that waiting online requests want.

    Parameters
    ----------
    tickets : iterable of SlotTicket
        The waiting online requests.
    versions : RunnerVersions
        The software versions of the runners.
    """

    def __init__(self, tickets: Iterable[SlotTicket], versions: RunnerVersions) -> None:
        self._versions = versions
        self._n_by_version = Counter(ticket.software_version for ticket in tickets)
        self._n_left = sum(self._n_by_version.values())

    @property
    def is_met(self) -> bool:
        """Whether no more slots are wanted."""
        return self._n_left == 0

    def wants(self, runner_id: RunnerId) -> bool:
        """Return whether a slot of a runner is wanted."""
        return self._version_served(runner_id) is not None

    def take(self, runner_id: RunnerId) -> bool:
        """Count a slot of a runner towards the demand; return whether it is wanted."""
        version = self._version_served(runner_id)
        if version is None:
            return False
        self._n_by_version[version] -= 1
        self._n_left -= 1
        return True

    def _version_served(self, runner_id: RunnerId) -> str | None:
        """Return the version in demand that a runner serves, the empty one last."""
        for version in (self._versions.version_of(runner_id), ""):
            if self._n_by_version[version] > 0:
                return version
        return None
