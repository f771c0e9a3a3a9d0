"""Choice of the runner for a request, from what the home of a service knows."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from damaskjunction.core import DataCentre, RunnerId
from damaskjunction.routing.runners.doubts import RunnerDoubts
from damaskjunction.routing.runners.leaving_cost import RunnerPlaces, leaving_cost
from damaskjunction.routing.runners.prefix_cache import PrefixCacheEstimate
from damaskjunction.routing.runners.runner_scores import RunnerFigures, runner_scores
from damaskjunction.routing.runners.runner_speeds import RunnerSpeeds
from damaskjunction.routing.slots.slot_types import SlotTicket


class RunnerPreference:
    """Chooses among a service's runners by load, speed, cached prefix and place.

    Parameters
    ----------
    score : str
        Name of the score by which runners are compared.
    speeds : RunnerSpeeds
        The learnt speeds of the runners.

    ``n_starts_by_place`` counts the requests that were given to runners inside and
    outside the data centre of the host that asked, where that one is preferred.
    """

    def __init__(self, score: str, speeds: RunnerSpeeds) -> None:
        self._speeds = speeds
        self.n_starts_by_place: Counter[str] = Counter()
        self._score = runner_scores.get(score)
        self._prefix_cache = PrefixCacheEstimate()
        self._doubts = RunnerDoubts()
        self._places = RunnerPlaces({})
        self._slots_by_runner: Mapping[RunnerId, int] = {}

    def set_runners(
        self,
        slots_by_runner: Mapping[RunnerId, int],
        data_centres: Mapping[RunnerId, DataCentre],
    ) -> None:
        """Replace the usable runners, their slot counts and their data centres."""
        self._slots_by_runner = slots_by_runner
        self._places = RunnerPlaces(data_centres)
        self._prefix_cache.retain_runners(slots_by_runner)
        self._doubts.retain_runners(slots_by_runner)
        self._speeds.retain_runners(slots_by_runner)

    def choose(
        self,
        ticket: SlotTicket,
        n_free_by_runner: Mapping[RunnerId, int],
        duration_s: float,
        now_s: float,
    ) -> RunnerId | None:
        """Return the candidate with the best score, the first one if several have it.

        Parameters
        ----------
        ticket : SlotTicket
            The request.
        n_free_by_runner : mapping
            The candidates and their free slots.
        duration_s : float
            Mean time in seconds for which such a request holds a slot.
        now_s : float
            The current time.
        """
        cost = leaving_cost(duration_s)
        is_local = self._places.prefers_inside(ticket.data_centre)
        best: tuple[float, RunnerId] | None = None
        for runner_id, n_free in n_free_by_runner.items():
            figures = RunnerFigures(
                self._slots_by_runner[runner_id],
                n_free,
                self._prefix_cache.cached_share(runner_id, ticket.parts),
                self._speeds.time_factor(runner_id, now_s),
                is_local and self._places.is_outside(runner_id, ticket.data_centre),
                cost,
                self._doubt(ticket, runner_id, now_s),
            )
            score = self._score(figures)
            if best is None or score > best[0]:
                best = (score, runner_id)
        return best[1] if best is not None else None

    def _doubt(self, ticket: SlotTicket, runner_id: RunnerId, now_s: float) -> float:
        """Return the doubt about a runner that matters for a request.

        One that may be tried again is a probe for a runner in doubt.
        """
        if not ticket.is_only_attempt:
            return 0.0
        return self._doubts.level(runner_id, now_s)

    def record_start(self, ticket: SlotTicket, runner_id: RunnerId) -> None:
        """Record that a runner is given a request."""
        self._prefix_cache.record(runner_id, ticket.parts)
        if self._places.prefers_inside(ticket.data_centre):
            is_outside = self._places.is_outside(runner_id, ticket.data_centre)
            self.n_starts_by_place["outside" if is_outside else "inside"] += 1

    def record_failure(self, runner_id: RunnerId, now_s: float) -> None:
        """Doubt a runner that failed, and drop what is known of it.

        It may have restarted.
        """
        self._doubts.record_failure(runner_id, now_s)
        self._prefix_cache.forget(runner_id)
        self._speeds.forget(runner_id)

    def to_document(self) -> dict[str, object]:
        """Return the state for the diagnostic dump."""
        return {
            "time_factor_by_runner": self._speeds.to_document(),
            "starts_by_place": dict(self.n_starts_by_place),
        }
