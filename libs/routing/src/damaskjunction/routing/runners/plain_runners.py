"""Choice of the runner of a plain service, by what one host has seen."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping, Sequence

from damaskjunction.core import DataCentre, Runner, RunnerId
from damaskjunction.routing.runners.data_centre_weights import data_centre_weights
from damaskjunction.routing.runners.runner_speeds import RunnerSpeeds

SPEED_HALF_LIFE_S = 30.0  # one host sees few requests
LEAVING_COST = 0.25  # of a runner's slots, taken by this host alone


class PlainRunners:
    """Counts this host's requests at plain runners, and chooses among these runners.

    Parameters
    ----------
    data_centre : str
        The data centre of this host, empty if unknown.
    rng : random.Random
        Decides among runners that are as good.
    """

    def __init__(self, data_centre: DataCentre, rng: random.Random) -> None:
        self._data_centre = data_centre
        self._rng = rng
        self._n_in_flight: Counter[RunnerId] = Counter()
        self._speeds = RunnerSpeeds(SPEED_HALF_LIFE_S)

    def begin(
        self,
        runners: Sequence[Runner],
        n_hosts_by_data_centre: Mapping[DataCentre, int],
        now_s: float,
    ) -> Runner:
        """Choose one of the runners for a request, and count the request.

        It is the one with the least expected work of this host for each of its slots.
        Most often a host has nothing in flight at any of them: a runner is then drawn,
        a slow one less often. Runners outside the data centre that is to take the
        request are chosen when this one's are busier by ``LEAVING_COST``.
        """
        preferred = self._draw_data_centre(runners, n_hosts_by_data_centre)

        def rank(runner: Runner) -> tuple[float, float]:
            factor = self._speeds.time_factor(runner.runner_id, now_s)
            n_in_flight = self._n_in_flight[runner.runner_id]
            work = factor * n_in_flight / max(1, runner.slots)
            if preferred and runner.data_centre != preferred:
                work += LEAVING_COST
            return work, factor * self._rng.expovariate(1.0)

        runner = min(runners, key=rank)
        self._n_in_flight[runner.runner_id] += 1
        return runner

    def end(self, runner: Runner, duration_s: float, now_s: float) -> None:
        """Stop counting a request, and learn from how long it took."""
        runner_id = runner.runner_id
        self._speeds.observe(runner_id, runner.service, duration_s, now_s)
        self._n_in_flight[runner_id] -= 1
        if not self._n_in_flight[runner_id]:
            del self._n_in_flight[runner_id]

    def forget(self, runner_id: RunnerId) -> None:
        """Drop the learnt speed of a runner that failed a request."""
        self._speeds.forget(runner_id)

    def _draw_data_centre(
        self, runners: Sequence[Runner], n_hosts_by_data_centre: Mapping[str, int]
    ) -> DataCentre:
        """Return the data centre that is to take a request, empty for any."""
        n_slots: Counter[DataCentre] = Counter()
        for runner in runners:
            n_slots[runner.data_centre] += max(1, runner.slots)
        weights = data_centre_weights(
            self._data_centre, n_hosts_by_data_centre, n_slots
        )
        if not weights:
            return ""
        places = list(weights)
        return self._rng.choices(places, [weights[p] for p in places])[0]
