"""When a host reports its active revisions to the watchers of its data centre."""

from __future__ import annotations

REPORT_DELAYS_S = (0.0, 0.4)  # after a change; then at regular periods


class ReportSchedule:
    """Reports soon after each change, twice for lost datagrams, and then periodically.

    Parameters
    ----------
    period_s : float
        Seconds between reports while nothing changes.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._due_at_s: list[float] = []

    def restart(self, now_s: float) -> None:
        """Schedule the reports that follow a change."""
        self._due_at_s = [now_s + delay_s for delay_s in REPORT_DELAYS_S]

    def take_due(self, now_s: float) -> bool:
        """Return whether a report is due, and schedule the next one if so."""
        if not self._due_at_s or now_s < self._due_at_s[0]:
            return False
        del self._due_at_s[0]
        if not self._due_at_s:
            self._due_at_s = [now_s + self._period_s]
        return True
