"""When a host that is to stop takes requests, and when its work has to be over.

It answers the load of callers who still have its address after it has begun to leave.
At first each request is taken, since they can't know yet. Later a request is taken only
if its own time is over before the host ends: one that has begun at a runner and is cut
there may not be repeated, while one that is refused can go elsewhere at once.
"""

from __future__ import annotations

from typing import NamedTuple

# The following are fractions of the stop grace period.
OPEN_FRACTION = 0.3  # callers may not know yet that the host leaves
ITEMS_FRACTION = 0.56  # another host needs time to take the jobs over
LISTEN_FRACTION = 0.75  # callers may still have the address
END_FRACTION = 0.96  # what remains is for closing


class StopSchedule(NamedTuple):
    """The phases of a planned stop; times are in seconds of the timer service."""

    began_at_s: float
    grace_s: float

    @property
    def items_until_s(self) -> float:
        """Time until which items of batch jobs that were begun may run on."""
        return self.began_at_s + ITEMS_FRACTION * self.grace_s

    @property
    def listens_until_s(self) -> float:
        """Time until which connections are accepted."""
        return self.began_at_s + LISTEN_FRACTION * self.grace_s

    @property
    def ends_at_s(self) -> float:
        """Time at which requests that remain are aborted."""
        return self.began_at_s + END_FRACTION * self.grace_s

    def admits(self, now_s: float, deadline_at_s: float) -> bool:
        """Return whether a request with this deadline is taken now."""
        is_open = now_s <= self.began_at_s + OPEN_FRACTION * self.grace_s
        return is_open or deadline_at_s <= self.ends_at_s
