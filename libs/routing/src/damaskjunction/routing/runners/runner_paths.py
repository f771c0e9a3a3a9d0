"""Which way a host takes to each runner: directly, or through another host.

A host that gets no connection to a runner can't tell whether the runner or the path to
it has failed. What other hosts see decides that.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from damaskjunction.core import Address, HostId

DIRECT_HEAD_START_S = 0.1  # before a relay is asked as well
DIRECT_RETRY_S = 1.0  # between direct tries over a path that is cut
TROUBLE_S = 2.0  # after a path was cut or regained
RELAY_EXCLUSION_S = 2.0
# A host that is late itself must not add relays to its work.
CONNECTIONS_PER_HEDGE = 10
HEDGE_BURST = 10
MAX_WITNESSES = 8
MAX_TRACKED = 4096


class Reach(StrEnum):
    """What came of an attempt to connect to a runner.

    ``ISOLATED`` says that the host that tried reaches no other runner either, so that
    it may be cut off itself. ``UNKNOWN`` says nothing: it did not try, or gave no
    answer.
    """

    CONNECTED = "connected"
    REFUSED = "refused"
    SILENT = "silent"
    ISOLATED = "isolated"
    UNKNOWN = "unknown"


class RunnerVerdict(StrEnum):
    """The state of a runner, as seen from two vantage points.

    ``ENDED`` and ``SILENT`` are faults of the runner, ``PATH_CUT`` is one of the path
    from this host. ``UNKNOWN`` proves nothing against anyone.
    """

    LIVES = "lives"
    PATH_CUT = "path_cut"
    ENDED = "ended"
    SILENT = "silent"
    UNKNOWN = "unknown"

    @property
    def may_accuse(self) -> bool:
        """Whether a failed request counts against the runner's health."""
        return self not in (RunnerVerdict.PATH_CUT, RunnerVerdict.UNKNOWN)


def judge_runner(
    direct: Reach, others: Sequence[Reach], n_others: int
) -> RunnerVerdict:
    """Return the state of a runner.

    It is at fault when a host that reaches another runner does not reach it either, or
    when no host reaches any.

    Parameters
    ----------
    direct : Reach
        What came of this host's own attempt.
    others : sequence of Reach
        What came of the attempts of other hosts.
    n_others : int
        Number of other known hosts, also of those that leave. Without any, this host's
        own view decides.
    """
    if direct is Reach.CONNECTED:
        return RunnerVerdict.LIVES
    if Reach.CONNECTED in others:
        return RunnerVerdict.PATH_CUT
    seen = {Reach.REFUSED, Reach.SILENT}.intersection(others)
    n_isolated = sum(reach is Reach.ISOLATED for reach in others)
    if direct is Reach.UNKNOWN or not (seen or n_isolated >= n_others):
        return RunnerVerdict.UNKNOWN
    if direct is Reach.REFUSED and seen <= {Reach.REFUSED}:
        return RunnerVerdict.ENDED
    return RunnerVerdict.SILENT


def trusted_reach(target: Reach, controls: Sequence[Reach]) -> Reach:
    """Return what a host may tell others of its attempt to reach a runner.

    Parameters
    ----------
    target : Reach
        What came of the attempt.
    controls : sequence of Reach
        What came of its attempts to reach other runners at the same time. If none of
        them succeeded, the host itself may be cut off.
    """
    if target is Reach.CONNECTED or not controls or Reach.CONNECTED in controls:
        return target
    return Reach.ISOLATED


class PathPlan(NamedTuple):
    """How to connect to a runner.

    A relay is tried ``relay_after_s`` seconds after the direct path, or alone unless
    ``is_direct``. If ``is_probed``, a direct connection is not used before it has
    proved to last.
    """

    is_direct: bool
    relay_after_s: float
    is_probed: bool = False


class RunnerPaths:
    """The paths from this host to runners, by the runners' addresses.

    A path is cut when the runner can be reached through another host only. It is then
    tried directly once in ``DIRECT_RETRY_S``, and is whole again once that succeeds.
    While a path is cut, the others are doubted unless they have proved to be whole in
    the last ``DIRECT_RETRY_S``: relays are tried at the same time.
    While none is, connections that are only slow are hedged within a budget.
    """

    def __init__(self) -> None:
        self._retry_at_by_address: dict[Address, float] = {}
        self._proved_until_by_address: dict[Address, float] = {}
        self._troubled_until_s = -math.inf
        self._excluded_until_by_relay: dict[HostId, float] = {}
        self._proved_relays: set[HostId] = set()
        self._hedge_credit = HEDGE_BURST * CONNECTIONS_PER_HEDGE

    def is_cut(self, address: Address) -> bool:
        """Return whether the direct path to a runner is known to be cut."""
        return address in self._retry_at_by_address

    def is_doubtful(self, address: Address, now_s: float) -> bool:
        """Return whether another path is cut, and this one not proved to be whole."""
        return (
            bool(self._retry_at_by_address)
            and self._proved_until_by_address.get(address, 0.0) <= now_s
        )

    def is_troubled(self, now_s: float) -> bool:
        """Return whether a path is cut, or was until lately."""
        return bool(self._retry_at_by_address) or now_s < self._troubled_until_s

    @property
    def cut_addresses(self) -> list[Address]:
        """The addresses of the runners whose direct path is cut."""
        return sorted(self._retry_at_by_address)

    def plan(self, address: Address, now_s: float) -> PathPlan:
        """Return how to connect to a runner now; claims a direct retry that is due."""
        retry_at_s = self._retry_at_by_address.get(address)
        if retry_at_s is None:
            is_doubtful = self.is_doubtful(address, now_s)
            return PathPlan(
                True, 0.0 if is_doubtful else DIRECT_HEAD_START_S, is_doubtful
            )
        if now_s < retry_at_s:
            return PathPlan(False, 0.0)
        self._retry_at_by_address[address] = now_s + DIRECT_RETRY_S
        return PathPlan(True, 0.0, True)

    def take_hedge(self) -> bool:
        """Return whether relays may be asked while a direct attempt is slow."""
        if self._retry_at_by_address:
            return True
        if self._hedge_credit < CONNECTIONS_PER_HEDGE:
            return False
        self._hedge_credit -= CONNECTIONS_PER_HEDGE
        return True

    def record_direct(
        self, address: Address, now_s: float, *, is_proved: bool = False
    ) -> bool:
        """Record a direct connection; return whether the path was cut before.

        ``is_proved`` says that the connection has proved to last.
        """
        if is_proved and self._retry_at_by_address:
            self._proved_until_by_address[address] = now_s + DIRECT_RETRY_S
        max_credit = HEDGE_BURST * CONNECTIONS_PER_HEDGE
        self._hedge_credit = min(max_credit, self._hedge_credit + 1)
        was_cut = self._retry_at_by_address.pop(address, None) is not None
        if was_cut:
            self._troubled_until_s = now_s + TROUBLE_S
        return was_cut

    def record_cut(self, address: Address, now_s: float) -> bool:
        """Record that only a relay reaches a runner; return whether that is new."""
        is_new = address not in self._retry_at_by_address
        self._troubled_until_s = now_s + TROUBLE_S
        self._proved_until_by_address.pop(address, None)
        self._retry_at_by_address[address] = now_s + DIRECT_RETRY_S
        while len(self._retry_at_by_address) > MAX_TRACKED:
            del self._retry_at_by_address[next(iter(self._retry_at_by_address))]
        return is_new

    def retain(self, addresses: Iterable[Address]) -> None:
        """Forget the paths to all other addresses."""
        known = set(addresses)
        for times in (self._retry_at_by_address, self._proved_until_by_address):
            for address in times.keys() - known:
                del times[address]

    def record_relay(self, host_id: HostId, reach: Reach, now_s: float) -> None:
        """Record what came of an attempt through another host."""
        if reach is Reach.CONNECTED:
            self._proved_relays.add(host_id)
            self._excluded_until_by_relay.pop(host_id, None)
        elif reach in (Reach.UNKNOWN, Reach.ISOLATED):
            self._proved_relays.discard(host_id)
            self._excluded_until_by_relay[host_id] = now_s + RELAY_EXCLUSION_S

    def relay_order(
        self, host_ids: Sequence[HostId], rng: random.Random, now_s: float
    ) -> list[HostId]:
        """Return hosts in the order in which they are to be asked to relay.

        Those that have relayed before come first, those that lately could not come
        last; chance spreads the load within each group.
        """
        shuffled = rng.sample(host_ids, len(host_ids))
        return sorted(shuffled, key=lambda host_id: self._relay_rank(host_id, now_s))

    def _relay_rank(self, host_id: HostId, now_s: float) -> int:
        if self._excluded_until_by_relay.get(host_id, 0.0) > now_s:
            return 2
        return 0 if host_id in self._proved_relays else 1
