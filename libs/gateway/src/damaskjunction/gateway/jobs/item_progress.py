"""The progress of a batch item over all its attempts, and what is kept of them."""

from __future__ import annotations

import logging
import math
import sys
from collections.abc import Sequence

from damaskjunction.batch import BatchItem
from damaskjunction.core import (
    Runner,
    RunnerId,
    ServiceName,
    Timers,
)
from damaskjunction.gateway.jobs.owed_items import OwedItem
from damaskjunction.gateway.jobs.silence_watch import Hearing
from damaskjunction.gateway.slots.queue_waits import MAX_WAIT_S
from damaskjunction.gateway.state import ServingState
from damaskjunction.gateway.versions.stream_version import StreamVersion
from damaskjunction.http import RawEvent, ReceiveBudget
from damaskjunction.routing import ItemWait, runners_at

logger = logging.getLogger(__name__)

# An item waits no longer for runners of its version while others serve.
VERSION_WAIT_S = MAX_WAIT_S
EVENT_OVERHEAD_BYTES = 8  # of a text in the list of them


class ItemProgress:
    """Progress of an item over all its attempts.

    ``last_event_id`` is where the next attempt resumes. ``n_crashes`` counts the
    crashed attempts since the last event, ``n_failures`` the responses with status 500.
    ``version`` is the software version that the text has to keep. ``hearing`` tells
    when the present runner was heard last, and ``n_standbys`` counts the asks for slots
    of others meanwhile.

    Parameters
    ----------
    item : BatchItem
        The item.
    owed : OwedItem
        Its entry among the items that this host owes.
    state : ServingState
        The known runners.
    timers : Timers
        The process's timer service.
    budget : ReceiveBudget
        Bounds what is kept of the texts of all items.
    """

    def __init__(
        self,
        item: BatchItem,
        owed: OwedItem,
        state: ServingState,
        timers: Timers,
        *,
        budget: ReceiveBudget,
    ) -> None:
        self.item = item
        self.owed = owed
        self.version = StreamVersion(item.item_id, state, timers)
        self.texts: list[str] = []
        self.last_event_id: int | None = None
        self.n_bytes = 0
        self.n_failures = 0
        self.n_crashes = 0
        self.excluded_runners: set[RunnerId] = set()
        self.runners_tried: set[RunnerId] = set()
        self.hearing = Hearing(timers)
        self.n_standbys = 0
        self._timers = timers
        self.started_at_s = timers.now() - owed.waited_s
        self._is_advanced = False  # in the present attempt
        self._denied_by: set[RunnerId] = set()  # since the last event
        self._paused_at_s = timers.now()
        self._budget = budget
        self._kept = budget.open(self._drop_text)

    def close(self) -> None:
        """Count the item's text no more."""
        self._kept.close()

    def add_event(
        self, event: RawEvent, runner: Runner, *, is_proved: bool = False
    ) -> None:
        """Add the next event of the output, which a runner wrote.

        ``is_proved`` says that its process has told that it is the one listed.

        Raises
        ------
        BrokenResponseError
            When the text was dropped, as those of all items were too large together.
        """
        self.check_kept()
        if not self._is_advanced:
            self._is_advanced = True
            if runner.runner_id in self._denied_by:
                runner = runner._replace(version="")  # that of another process
            self.version.record_answer(runner, is_proved=is_proved)
        self.last_event_id = event.event_id
        self.texts.append(event.data)
        self.n_bytes += EVENT_OVERHEAD_BYTES + sys.getsizeof(event.data)
        self.n_crashes = 0
        self._denied_by.clear()
        self._kept.peer = runner.address
        self._kept.resize(self.n_bytes)

    def check_kept(self) -> None:
        """Raise ``BrokenResponseError`` if the text was dropped in this attempt."""
        self._kept.check()

    def record_denial(self, runner_id: RunnerId) -> None:
        """Record that a runner is not known to have the version listed for it."""
        self._denied_by.add(runner_id)

    def is_process_checked(self, runner: Runner) -> bool:
        """Return whether the process of the next attempt has to be the one listed.

        Any may begin the item if the listed one is not there; it goes on nowhere then.
        """
        has_begun = self.last_event_id is not None
        return has_begun or runner.runner_id not in self._denied_by

    def end_attempt(self) -> None:
        """Record that an attempt has ended without the whole text."""
        if self._kept.is_revoked:
            self._kept = self._budget.open(self._drop_text)
        if self._is_advanced:
            self._is_advanced = False
            self._paused_at_s = self._timers.now()

    def version_to_keep(self, service: ServiceName, runners: Sequence[Runner]) -> str:
        """Return the version of the runner for the next attempt, empty for any.

        The item begins afresh where it may not go on, as ``item_denial`` tells.

        Parameters
        ----------
        service : str
            The service that is to go on with the item.
        runners : sequence of Runner
            The runners of that service that accept new work.
        """
        wait = ItemWait(self._version_wait_left_s <= 0, bool(self._denied_by))
        denial = self.version.item_denial(service, runners, wait)
        if denial is not None:
            self.begin_afresh(denial.value)
        return self.version.required

    def runners_to_avoid(
        self, runners: Sequence[Runner], version: str
    ) -> tuple[RunnerId, ...]:
        """Return the runners that the next ask for a slot avoids.

        They have failed the item since it last had a slot. If no other one of
        ``runners`` has the version to keep, none is avoided.
        """
        usable_ids = {runner.runner_id for runner in runners_at(runners, version)}
        if self.excluded_runners.issuperset(usable_ids):
            return ()
        return tuple(self.excluded_runners)

    @property
    def _version_wait_left_s(self) -> float:
        return self._paused_at_s + VERSION_WAIT_S - self._timers.now()

    def slot_wait_limit_s(self, version: str) -> float:
        """Return how long the next attempt may wait for a slot at a version.

        In seconds; infinite for any version. After that the version to keep is to be
        decided anew, since others may serve by then.
        """
        if not version:
            return math.inf
        left_s = self._version_wait_left_s
        return left_s if left_s > 0 else VERSION_WAIT_S

    def end_slot_wait(self) -> None:
        """Record that no slot was granted in time; all runners may be tried again."""
        self.excluded_runners.clear()

    def _drop_text(self) -> None:
        self.begin_afresh("the texts of all items are too large")

    def begin_afresh(self, reason: str) -> None:
        """Drop what has been made of the text, and the version with it."""
        extra = {
            "item": self.item.item_id,
            "reason": reason,
            "last_event_id": self.last_event_id,
        }
        logger.info("item begins afresh", extra=extra)
        self.version.forget()
        self._denied_by.clear()
        self.texts.clear()
        self.last_event_id = None
        self.n_bytes = 0
        if not self._kept.is_revoked:
            self._kept.resize(0)
