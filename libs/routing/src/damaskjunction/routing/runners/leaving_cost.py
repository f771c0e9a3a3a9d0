"""What it costs to serve a request outside the data centre of the asking host."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from damaskjunction.core import DataCentre, RunnerId

ROUND_TRIP_S = 0.002  # between data centres of a region
TRAFFIC_COST = 0.05  # of the bytes outside, as a share of a request's duration
FULL_SLOWDOWN = 0.25  # by which a full runner is slower than an empty one
MAX_LEAVING_COST = 0.5
MIN_LOCAL_RUNNERS = 4  # with fewer, one request more or less outweighs a trip


def leaving_cost(duration_s: float) -> float:
    """Return the cost of leaving the data centre, as a share of a runner's slots.

    It is the share by which a runner inside may be more occupied than one outside
    before the requests of both end equally late, trip and traffic included.

    Parameters
    ----------
    duration_s : float
        Mean duration of such a request in seconds.
    """
    if duration_s <= 0:
        return MAX_LEAVING_COST
    trip_share = ROUND_TRIP_S / duration_s
    return min(MAX_LEAVING_COST, (trip_share + TRAFFIC_COST) / FULL_SLOWDOWN)


class RunnerPlaces:
    """The data centres of a service's runners.

    Parameters
    ----------
    data_centres : mapping
        Data centre of each runner; a runner may be missing or have an empty one.
    """

    def __init__(self, data_centres: Mapping[RunnerId, DataCentre]) -> None:
        self._data_centres = data_centres
        self._n_runners_by_data_centre = Counter(data_centres.values())

    def is_outside(self, runner_id: RunnerId, data_centre: DataCentre) -> bool:
        """Return whether a runner is known to be outside a data centre."""
        place = self._data_centres.get(runner_id, "")
        return bool(place and data_centre) and place != data_centre

    def prefers_inside(self, data_centre: DataCentre) -> bool:
        """Return whether a data centre has runners enough to prefer them."""
        n_runners = self._n_runners_by_data_centre[data_centre]
        return bool(data_centre) and n_runners >= MIN_LOCAL_RUNNERS
