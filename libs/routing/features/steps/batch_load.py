"""A load of batch requests, played against a slot pool."""

from __future__ import annotations

import heapq
from typing import NamedTuple

from damaskjunction.core import WorkClass
from damaskjunction.routing import GrantSlot, SlotPool, SlotTicket

N_RUNNERS, N_SLOTS_EACH = 8, 5
N_RESERVED = 3  # slots that batch leaves to online requests
N_BATCH_SLOTS = N_RUNNERS * N_SLOTS_EACH - N_RESERVED
MEAN_WORK_S = 5.0
WORK_S = (4.0, 6.0)
DUE_S = 18.0


class Asked(NamedTuple):
    """A request, and when it comes."""

    came_at_s: float
    workspace: str = ""


class Served(NamedTuple):
    """When a request came, and when a runner began and ended it."""

    came_at_s: float
    began_at_s: float
    ended_at_s: float
    workspace: str

    @property
    def is_in_time(self):
        return self.ended_at_s <= self.came_at_s + DUE_S


def batch_ticket(request_id, due_at_s, workspace=""):
    return SlotTicket(
        request_id, WorkClass.BATCH, (), (), due_at_s, due_at_s, workspace=workspace
    )


def play(requests, rng, rule="in_time_first"):
    """Return the requests that a pool serves; all wait until they are served."""
    pool = SlotPool(batch_rule=rule)
    pool.set_runners({f"r{n}": N_SLOTS_EACH for n in range(N_RUNNERS)}, 0.0)
    # Each event is its time, the number of its request, and whether that ends.
    events = [(asked.came_at_s, n, False) for n, asked in enumerate(requests)]
    heapq.heapify(events)
    began_at_s, served = {}, {}
    while events:
        now_s, number, is_end = heapq.heappop(events)
        request_id, asked = f"q{number}", requests[number]
        if is_end:
            assert number not in served
            served[number] = Served(
                asked.came_at_s, began_at_s[request_id], now_s, asked.workspace
            )
            effects = pool.release(request_id, now_s)
        else:
            ticket = batch_ticket(request_id, now_s + DUE_S, asked.workspace)
            effects = pool.submit(ticket, now_s)
        for effect in effects:
            assert isinstance(effect, GrantSlot), effect
            began_at_s[effect.request_id] = now_s
            ends_at_s = now_s + rng.uniform(*WORK_S)
            granted = int(effect.request_id.removeprefix("q"))
            heapq.heappush(events, (ends_at_s, granted, True))
    assert len(served) == len(requests), (len(served), len(requests))
    return list(served.values())
