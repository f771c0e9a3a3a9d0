"""A load of callers of several workspaces, played against a slot pool."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from typing import NamedTuple

from damaskjunction.core import WorkClass
from damaskjunction.routing import GrantSlot, RefuseSlot, SlotPool, SlotTicket

N_RUNNERS, N_SLOTS_EACH = 8, 5
HOLD_S = (0.3, 0.5)
GOAL_S, MAX_WAIT_S, DEADLINE_S = 0.25, 2.0, 5.0
EXPIRY_PERIOD_S = 0.1
DURATION_S, HOT_FROM_S, HOT_UNTIL_S = 24.0, 12.0, 19.0
# Requests a second; with a mean hold of 0.4 s, the slots serve 100.
RATES = {"large-1": 16.0, "large-2": 14.0} | {f"small-{n}": 2.5 for n in range(18)}


class Call(NamedTuple):
    """One attempt of a caller; a refused one is repeated once."""

    workspace: str
    came_at_s: float
    hold_s: float
    is_repeated: bool = False


class Outcomes:
    """What the callers of each workspace got in the time of the heat."""

    def __init__(self):
        self.n_asked = Counter()
        self.n_in_goal = Counter()
        self.n_served = Counter()
        self.document = {}
        self.returns = []  # (workspace, when a refused call is to come again)

    def share_in_goal(self, workspace):
        return self.n_in_goal[workspace] / max(1, self.n_asked[workspace])


def make_calls(factor_by_workspace):
    """Return the calls by request id.

    Those that all loads have in common are the same in each of them.
    """
    calls = {}
    for workspace, rate in RATES.items():
        factor = factor_by_workspace.get(workspace, 1.0)
        for kind, rate_then, since_s, until_s in (
            ("usual", rate, 0.0, DURATION_S),
            ("more", (factor - 1.0) * rate, HOT_FROM_S, HOT_UNTIL_S),
        ):
            rng = random.Random(f"{workspace} {kind}")
            for number in range(int(rate_then * (until_s - since_s))):
                came_at_s = rng.uniform(since_s, until_s)
                call = Call(workspace, came_at_s, rng.uniform(*HOLD_S))
                calls[f"{workspace}-{kind}-{number}"] = call
    return calls


class Player:
    """Plays calls against a pool; ``is_told`` is whether it is told the workspaces."""

    def __init__(self, factor_by_workspace, *, is_told=True, weights=None):
        self.calls = make_calls(factor_by_workspace)
        self.is_told = is_told
        self.outcomes = Outcomes()
        self.pool = SlotPool()
        self.pool.set_shares(weights or {})
        self.pool.set_runners({f"r{n}": N_SLOTS_EACH for n in range(N_RUNNERS)}, 0.0)
        self.events = [(c.came_at_s, "call", i) for i, c in self.calls.items()]
        n_expiries = int(DURATION_S / EXPIRY_PERIOD_S)
        self.events += [(n * EXPIRY_PERIOD_S, "expire", "") for n in range(n_expiries)]
        heapq.heapify(self.events)

    def play(self):
        while self.events:
            now_s, kind, request_id = heapq.heappop(self.events)
            if kind == "expire":
                effects = self.pool.expire(now_s)
            elif kind == "end":
                effects = self.pool.release(request_id, now_s)
            else:
                effects = self.pool.submit(self.ticket(request_id, now_s), now_s)
            for effect in effects:
                self.apply(effect, now_s)
        self.outcomes.document = self.pool.to_document()
        return self.outcomes

    def ticket(self, request_id, now_s):
        call = self.calls[request_id]
        if not call.is_repeated and HOT_FROM_S <= call.came_at_s < HOT_UNTIL_S:
            self.outcomes.n_asked[call.workspace] += 1
        start_by_s = now_s + MAX_WAIT_S
        return SlotTicket(
            request_id,
            WorkClass.ONLINE,
            (),
            (),
            start_by_s,
            start_by_s,
            now_s + GOAL_S,
            call.is_repeated,
            workspace=call.workspace if self.is_told else "",
        )

    def apply(self, effect, now_s):
        call = self.calls[effect.request_id]
        is_counted = HOT_FROM_S <= call.came_at_s < HOT_UNTIL_S
        if isinstance(effect, GrantSlot):
            heapq.heappush(self.events, (now_s + call.hold_s, "end", effect.request_id))
            self.outcomes.n_served[call.workspace] += is_counted
            is_in_goal = not call.is_repeated and now_s <= call.came_at_s + GOAL_S
            self.outcomes.n_in_goal[call.workspace] += is_counted and is_in_goal
        elif isinstance(effect, RefuseSlot) and not call.is_repeated:
            self.outcomes.returns.append((call.workspace, now_s + effect.retry_after_s))
            left_s = call.came_at_s + DEADLINE_S - now_s
            returns_at_s = now_s + min(effect.retry_after_s, left_s / 3)
            self.calls[effect.request_id] = call._replace(is_repeated=True)
            heapq.heappush(self.events, (returns_at_s, "call", effect.request_id))


def play(factor_by_workspace, **options):
    return Player(factor_by_workspace, **options).play()
