"""Counts the requests of workspaces against their limits.

One host counts for a workspace, in a token bucket. A host that takes over starts with
few tokens, since it does not know what the host before it has granted. A host that is
asked in place of a home that it believes to be alive grants few requests a window.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection
from typing import Any, NamedTuple

from damaskjunction.core import HostId, WorkspaceName, stable_hash
from damaskjunction.routing.workspaces.permits import (
    GRANTED,
    OVER_LIMIT,
    UNCERTAIN_LIMIT,
    CounterPlace,
    PermitAsk,
    PermitReply,
)
from damaskjunction.routing.workspaces.quotas import Quota

BURST_SLACK_FRACTION = 0.25  # of the slack, added to the burst
# Parts of the tolerance. What is left of it is for the time in which hosts don't agree
# on the home of a workspace, and for requests that are sent to several runners.
START_FRACTION = 0.15  # the first tokens of a host that takes over
STAND_IN_FRACTION = 0.2  # granted in place of the home in a window
UNSETTLED_FRACTION = 0.05  # the same by a host that has just started
MAX_FOREIGN_PAUSE_S = 0.3  # between two asks passed on by a host that is to take over
HASH_RANGE = 1 << 64
UNCERTAIN_RETRY_AFTER_S = 0.3


class _Bucket(NamedTuple):
    """Token bucket; ``retry_at_s`` is the last time named to a refused caller."""

    tokens: float
    filled_at_s: float
    retry_at_s: float = 0.0


class _Counts(NamedTuple):
    n_granted: int = 0
    n_refused: int = 0
    n_stand_in: int = 0
    n_alone: int = 0
    n_started_over: int = 0


class RequestCounter:
    """Token buckets of the workspaces that a host counts for.

    Parameters
    ----------
    own_id : str
        This host.
    """

    def __init__(self, own_id: HostId) -> None:
        self._own_id = own_id
        self._buckets_by_workspace: dict[WorkspaceName, _Bucket] = {}
        self._own_buckets_by_workspace: dict[WorkspaceName, _Bucket] = {}
        self._stand_in_times_by_workspace: dict[WorkspaceName, deque[float]] = {}
        self._counts_by_workspace: dict[WorkspaceName, _Counts] = {}

    @property
    def n_started_over(self) -> int:
        """How often a bucket was filled anew, since another host may have counted."""
        counts = self._counts_by_workspace.values()
        return sum(entry.n_started_over for entry in counts)

    def count(
        self, ask: PermitAsk, quota: Quota, place: CounterPlace, now_s: float
    ) -> PermitReply:
        """Grant or refuse a request.

        A host that should not count for the workspace grants few requests.
        """
        if not place.is_acting(ask):
            fraction = STAND_IN_FRACTION if place.is_settled else UNSETTLED_FRACTION
            max_requests = max(1, int(fraction * quota.tolerance))
            return self._stand_in(ask, quota.window_s, max_requests, now_s)
        rate_per_s = quota.rate_per_s * place.share
        bucket = self._filled_bucket(ask, quota, place, now_s)
        bucket, reply = _take(bucket, rate_per_s, quota.window_s, now_s)
        self._buckets_by_workspace[ask.workspace] = bucket
        self._add_counts(
            ask.workspace,
            n_granted=int(not reply.reason),
            n_refused=int(bool(reply.reason)),
        )
        return reply

    def _filled_bucket(
        self, ask: PermitAsk, quota: Quota, place: CounterPlace, now_s: float
    ) -> _Bucket:
        """Return the bucket of a workspace with the tokens that it has now.

        If another host may have counted since it was used, it is filled no further
        than the bucket of a host that takes over.
        """
        rate_per_s = quota.rate_per_s * place.share
        burst = quota.burst + BURST_SLACK_FRACTION * quota.slack
        capacity = max(1.0, burst * place.share)
        first = self._first_tokens(ask.workspace, quota, place.share)
        since_s = now_s - MAX_FOREIGN_PAUSE_S
        if not ask.unsettled:
            first += rate_per_s * max(0.0, now_s - place.since_s)
            since_s = place.since_s
        first = min(first, capacity)
        bucket = self._buckets_by_workspace.get(ask.workspace)
        is_kept = bucket is not None and bucket.filled_at_s >= since_s
        if not is_kept:
            self._add_counts(ask.workspace, n_started_over=1)
        bucket = bucket or _Bucket(first, now_s)
        most = capacity if is_kept else first
        bucket = _refill(bucket, rate_per_s, most, now_s)
        return bucket._replace(tokens=max(bucket.tokens - ask.n_uncounted, -capacity))

    def count_alone(
        self,
        workspace: WorkspaceName,
        quota: Quota,
        n_hosts: int,
        now_s: float,
    ) -> PermitReply:
        """Grant or refuse a request of this host when no other could be asked.

        All hosts together then keep the limit, each with an equal share.
        """
        share = 1.0 / max(1, n_hosts)
        rate_per_s = quota.rate_per_s * share
        bucket = self._own_buckets_by_workspace.get(workspace)
        if bucket is None:
            first = self._first_tokens(workspace, quota, share)
            bucket = _Bucket(first, now_s)
        capacity = max(1.0, quota.burst * share)
        bucket = _refill(bucket, rate_per_s, capacity, now_s)
        bucket, reply = _take(bucket, rate_per_s, quota.window_s, now_s)
        self._own_buckets_by_workspace[workspace] = bucket
        if reply.reason:
            return PermitReply(UNCERTAIN_LIMIT, UNCERTAIN_RETRY_AFTER_S)
        self._add_counts(workspace, n_alone=1)
        return reply

    def retain_workspaces(self, names: Collection[WorkspaceName]) -> None:
        """Forget all workspaces not in ``names``."""
        for by_workspace in (
            self._buckets_by_workspace,
            self._own_buckets_by_workspace,
            self._stand_in_times_by_workspace,
            self._counts_by_workspace,
        ):
            for name in by_workspace.keys() - set(names):
                by_workspace.pop(name)

    def to_document(self) -> dict[str, Any]:
        """Return the counts of each workspace, and its tokens when it last asked."""
        document: dict[str, Any] = {}
        for name, counts in self._counts_by_workspace.items():
            bucket = self._buckets_by_workspace.get(name)
            tokens = None if bucket is None else round(bucket.tokens, 1)
            document[name] = {**counts._asdict(), "tokens": tokens}
        return document

    def _stand_in(
        self, ask: PermitAsk, window_s: float, max_requests: int, now_s: float
    ) -> PermitReply:
        times = self._stand_in_times_by_workspace.setdefault(ask.workspace, deque())
        while times and now_s - times[0] > window_s:
            times.popleft()
        if len(times) >= max_requests:
            return PermitReply(UNCERTAIN_LIMIT, UNCERTAIN_RETRY_AFTER_S)
        times.append(now_s)
        self._add_counts(ask.workspace, n_stand_in=1)
        return GRANTED

    def _add_counts(self, workspace: WorkspaceName, **n_by_field: int) -> None:
        counts = self._counts_by_workspace.get(workspace, _Counts())
        added = {name: getattr(counts, name) + n for name, n in n_by_field.items()}
        self._counts_by_workspace[workspace] = counts._replace(**added)

    def _first_tokens(
        self, workspace: WorkspaceName, quota: Quota, share: float
    ) -> float:
        """Return the tokens of a new bucket.

        Shares of less than a request are filled up at different times on the hosts.
        """
        phase = stable_hash(self._own_id, workspace) / HASH_RANGE
        return max(START_FRACTION * quota.tolerance * share, phase)


def _refill(
    bucket: _Bucket, rate_per_s: float, capacity: float, now_s: float
) -> _Bucket:
    filled = bucket.tokens + rate_per_s * max(0.0, now_s - bucket.filled_at_s)
    return bucket._replace(tokens=min(filled, capacity), filled_at_s=now_s)


def _take(
    bucket: _Bucket, rate_per_s: float, window_s: float, now_s: float
) -> tuple[_Bucket, PermitReply]:
    """Return the bucket without the token of a request, and whether there was one.

    Refused callers are each named another time, as the tokens come, so that they
    don't return at once. The times start over when they reach a window ahead.
    """
    if bucket.tokens >= 1.0:
        return bucket._replace(tokens=bucket.tokens - 1.0), GRANTED
    soonest_s = now_s + (1.0 - bucket.tokens) / rate_per_s
    retry_at_s = max(soonest_s, bucket.retry_at_s + 1.0 / rate_per_s)
    if retry_at_s > now_s + window_s:
        retry_at_s = soonest_s
    reply = PermitReply(OVER_LIMIT, retry_at_s - now_s)
    return bucket._replace(retry_at_s=retry_at_s), reply
