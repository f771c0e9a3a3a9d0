"""A simulated fleet whose hosts count the requests of workspaces.

Hosts see changes of the fleet late, each at another time. They die, freeze, are cut off
or replaced, and some may not know asks for permits. Clients reach all hosts that run.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter, deque

from damaskjunction.core import WorkspaceSpec, rendezvous_order
from damaskjunction.routing import (
    ASK_LIMIT_S,
    AskStep,
    CounterChoice,
    CounterPlace,
    FleetShare,
    PermitAsk,
    QuotaBounds,
    RequestCounter,
    next_step,
    passed_ask,
    quota_of,
)

START_S = 1000.0
STEP_S = 0.05
OBSERVE_S = 0.5
SEEN_LATE_S = (0.1, 1.0)
LOST_LATE_S = (1.0, 2.5)
TRIP_S = 0.003
TIMEOUT_S = 0.12
N_WORKSPACES = 88
TOTAL_PER_S = 180.0
LIMIT_OF_USE = 1.6
BOUNDS = QuotaBounds()


class LimitBrokenError(AssertionError):
    """A window holds more requests than all hosts together may send."""


class SimulatedHost:
    """One host, which reaches the hosts of its group: what it sees, and its counter."""

    def __init__(self, name, now_s, counter_type, share_type):
        self.name, self.group, self.late = name, 0, []
        self.is_up, self.is_frozen, self.is_leaving, self.is_old = (
            True,
            False,
            False,
            False,
        )
        self.live, self.leaving = {name}, set()
        self.counter = counter_type(name)
        self.fleet_share = share_type(name, now_s)
        self.choice = CounterChoice()


class SimulatedFleet:
    """Hosts, workspaces and their requests; ``sent_by_workspace`` has when they ran."""

    def __init__(
        self, n_hosts, seed, counter_type=RequestCounter, share_type=FleetShare
    ):
        self.rng = random.Random(seed)
        self.now_s, self._events, self._n_events = START_S, [], 0
        self._types = (counter_type, share_type)
        self.names = [f"h{number}" for number in range(n_hosts)]
        self.hosts = {
            name: SimulatedHost(name, START_S - 10.0, *self._types)
            for name in self.names
        }
        for host in self.hosts.values():
            host.live = set(self.names)
            for number in range(20):
                host.fleet_share.observe(
                    host.live, (), START_S - OBSERVE_S * (20 - number)
                )
        weights = [(number + 1) ** -1.2 for number in range(N_WORKSPACES)]
        self.use = {
            f"w{number}": TOTAL_PER_S * weight / sum(weights)
            for number, weight in enumerate(weights)
        }
        self.specs = {
            name: WorkspaceSpec(
                name, requests_per_s=LIMIT_OF_USE * use, burst=LIMIT_OF_USE * use
            )
            for name, use in self.use.items()
        }
        self.order = {
            name: rendezvous_order(f"quota/{name}", [(h, 1.0) for h in self.names])
            for name in self.use
        }
        self.factor = dict.fromkeys(self.use, 1.0)
        self.sent_by_workspace = {name: deque() for name in self.use}
        self.ideal = {name: (spec.burst, 0.0) for name, spec in self.specs.items()}
        self.counts, self.owed, self.granted = Counter(), Counter(), Counter()
        self.delays_s, self.worst = [], 0.0

    # Events

    def at(self, delay_s, action):
        self._n_events += 1
        heapq.heappush(self._events, (self.now_s + delay_s, self._n_events, action))

    def _show(self, names, others, late_s):
        """Let hosts see the present state of others, each after a time."""
        for one in names:
            for other in others:
                if one != other:
                    self._sync(one, other, late_s)

    def _sync(self, observer, subject, late_s):
        def apply():
            host, seen = self.hosts[observer], self.hosts[subject]
            if host.is_frozen:
                self.at(0.2, apply)
                return
            is_seen = self._reaches(host, seen)
            is_leaving = is_seen and seen.is_leaving
            (host.leaving.add if is_leaving else host.leaving.discard)(subject)
            is_live = is_seen and not is_leaving
            (host.live.add if is_live else host.live.discard)(subject)
            host.choice.retain_hosts(host.live)
            host.fleet_share.observe(host.live, host.leaving, self.now_s)

        self.at(self.rng.uniform(*late_s), apply)

    def _reaches(self, host, other):
        return other.is_up and not other.is_frozen and host.group == other.group

    def is_calm(self, name):
        host = self.hosts[name]
        is_running = host.is_up and not host.is_frozen and not host.is_leaving
        return is_running and not host.group

    def kill(self, name, down_s=4.0):
        self.hosts[name].is_up = False
        self._show(self.names, [name], LOST_LATE_S)
        self.at(down_s, lambda: self.restart(name))

    def restart(self, name):
        old = self.hosts[name]
        self.hosts[name] = host = SimulatedHost(name, self.now_s, *self._types)
        host.group = old.group
        self._show(self.names, [name], SEEN_LATE_S)
        self._show([name], self.names, SEEN_LATE_S)

    def replace(self, name):
        """Stop a host as planned, and start it anew."""
        self.hosts[name].is_leaving = True
        self._show(self.names, [name], (0.02, 0.3))
        self.at(2.0, lambda: self.kill(name, 1.0))

    def freeze(self, name, for_s):
        self.hosts[name].is_frozen = True
        self._show(self.names, [name], LOST_LATE_S)

        def wake():
            host = self.hosts[name]
            host.is_frozen = False
            self._show(self.names, [name], SEEN_LATE_S)
            late, host.late = host.late, []
            for workspace in late:
                self._request_at(host, workspace)

        self.at(for_s, wake)

    def cut(self, names, for_s):
        self._regroup(names, 1, LOST_LATE_S)
        self.at(for_s, lambda: self._regroup(names, 0, SEEN_LATE_S))

    def _regroup(self, names, group, late_s):
        for name in names:
            self.hosts[name].group = group
        self._show(names, self.names, late_s)
        self._show(self.names, names, late_s)

    # Requests

    def run(self, for_s):
        end_s = self.now_s + for_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            while self._events and self._events[0][0] <= self.now_s:
                heapq.heappop(self._events)[2]()
            if int(self.now_s / STEP_S) % int(OBSERVE_S / STEP_S) == 0:
                for host in self.hosts.values():
                    if host.is_up and not host.is_frozen:
                        host.fleet_share.observe(host.live, host.leaving, self.now_s)
            for workspace, use in self.use.items():
                mean = use * self.factor[workspace] * STEP_S
                while mean > 0 and self.rng.random() < mean:
                    self._request(workspace)
                    mean -= 1.0

    def _request(self, workspace):
        host = self.hosts[self.rng.choice(self.names)]
        while not host.is_up or host.is_leaving or host.is_old:
            host = self.hosts[self.rng.choice(self.names)]
        if host.is_frozen:
            host.late.append(workspace)
        else:
            self._request_at(host, workspace)

    def _request_at(self, host, workspace):
        self._messages, self._delay_s = 0, 0.0
        reply = self._ask_first(host, workspace)
        is_owed = self._is_owed(workspace)
        self.counts["asked"] += 1
        self.owed[workspace] += is_owed
        self.granted[workspace] += not reply.reason
        self.counts["granted"] += not reply.reason
        self.counts["messages"] += self._messages
        self.counts[reply.reason] += 1
        self.delays_s.append(self._delay_s)
        if not reply.reason:
            self._check_bound(workspace)

    def _ask_first(self, host, workspace):
        ask = PermitAsk(workspace)
        quota = quota_of(self.specs[workspace], BOUNDS)
        for name in host.choice.candidates(self._ranked(host, workspace), self.now_s):
            reply = self._send(host, name, ask)
            if reply is not None:
                return reply
            if self._delay_s >= ASK_LIMIT_S:
                break
        self.counts["alone"] += 1
        n_known = host.fleet_share.n_known
        return host.counter.count_alone(workspace, quota, n_known, self.now_s)

    def _ranked(self, host, workspace):
        return [
            name
            for name in self.order[workspace]
            if name in host.live and not (name == host.name and host.is_leaving)
        ]

    def _send(self, host, name, ask):
        """Return the reply of a host, None if it does not answer."""
        if name == host.name:
            return self._handle(host, ask)
        other = self.hosts[name]
        self._messages += 1
        if other.is_up and not self._reaches(host, other):
            self._delay_s += TIMEOUT_S
        if not self._reaches(host, other):
            host.choice.mark_silent(name, self.now_s)
            return None
        if other.is_old:
            host.choice.mark_unable(name, self.now_s)
            return None
        self._delay_s += TRIP_S
        return self._handle(other, ask)

    def _handle(self, host, ask):
        ranked = self._ranked(host, ask.workspace)
        step = next_step(ask, self._place(host, ranked, ask))
        if step is not AskStep.COUNT:
            passed = passed_ask(ask, step, host.name)
            target = host.choice.target(ranked, passed, self.now_s)
            reply = self._send(host, target, passed) if target else None
            if reply is not None:
                return reply
        place = self._place(host, ranked, ask)
        quota = quota_of(self.specs[ask.workspace], BOUNDS)
        return host.counter.count(ask, quota, place, self.now_s)

    def _place(self, host, ranked, ask):
        share, now_s = host.fleet_share, self.now_s
        skipped = (*ask.unsettled, host.name)
        return CounterPlace(
            host.choice.home_of(ranked, ask.unsettled, now_s) == host.name,
            bool(host.choice.home_of(ranked, skipped, now_s)),
            share.is_settled(now_s),
            share.share(now_s),
            max(share.counts_since_s(), host.choice.changed_at_s),
        )

    # Checks

    def _is_owed(self, workspace):
        """Return whether a token bucket known to all would grant a request."""
        spec = self.specs[workspace]
        tokens, at_s = self.ideal[workspace]
        tokens += (self.now_s - at_s) * spec.requests_per_s
        tokens = min(tokens, spec.burst)
        is_owed = tokens >= 1.0
        self.ideal[workspace] = (tokens - is_owed, self.now_s)
        return is_owed

    def served_share(self, names):
        """Return the part of what workspaces may send that was granted."""
        granted = sum(min(self.granted[name], self.owed[name]) for name in names)
        return granted / sum(self.owed[name] for name in names)

    def summary(self):
        """Return what asking costs, and how far the fullest window was filled."""
        n_asked, delays_s = self.counts["asked"], sorted(self.delays_s)
        n_messages, for_s = self.counts["messages"], self.now_s - START_S
        return {
            "messages a request": n_messages / n_asked,
            "messages a host and second": n_messages / len(self.names) / for_s,
            "delay p50": delays_s[n_asked // 2],
            "delay p99": delays_s[n_asked * 99 // 100],
            "fullest window": self.worst,
            "decided alone": self.counts["alone"],
        }

    def _check_bound(self, workspace):
        sent = self.sent_by_workspace[workspace]
        sent.append(self.now_s)
        while self.now_s - sent[0] > BOUNDS.window_s:
            sent.popleft()
        allowed = quota_of(self.specs[workspace], BOUNDS).max_in_window
        self.worst = max(self.worst, len(sent) / allowed)
        if len(sent) > allowed:
            raise LimitBrokenError(workspace, len(sent), allowed, self.now_s)
