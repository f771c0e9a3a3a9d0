"""Fair queues of the requests that wait for one runner."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damaskjunction.core import RequestId, WorkClass, WorkspaceName
from damaskjunction.core.types import EMPTY


class AdmissionTicket(NamedTuple):
    """A request for admission to a runner.

    ``deadline_at_s`` is on the ``Timers`` clock; ``share`` is the relative weight of
    its workspace under contention.
    """

    request_id: RequestId
    workspace: WorkspaceName
    work_class: WorkClass
    deadline_at_s: float
    share: float = 1.0


class FairQueue:
    """A bounded queue served by deficit round robin between workspaces.

    Within a workspace the order is first in, first out.

    Parameters
    ----------
    max_waiting : int
        Maximum number of waiting requests.
    """

    def __init__(self, max_waiting: int) -> None:
        self._max_waiting = max_waiting
        self._n_waiting = 0
        self._tickets_by_workspace: OrderedDict[
            WorkspaceName, OrderedDict[RequestId, AdmissionTicket]
        ] = OrderedDict()
        self._shares_by_workspace: dict[WorkspaceName, float] = {}
        self._deficits_by_workspace: dict[WorkspaceName, float] = {}

    def __len__(self) -> int:
        return self._n_waiting

    def push(self, ticket: AdmissionTicket) -> AdmissionTicket | None:
        """Add a request; return the one that was evicted, if any.

        When the queue is full, the newest request of the workspace with the most
        waiting requests per share is evicted, so that one workspace cannot starve the
        others.
        """
        self._insert(ticket)
        if self._n_waiting <= self._max_waiting:
            return None
        longest = max(self._tickets_by_workspace, key=self._waiting_per_share)
        newest = next(reversed(self._tickets_by_workspace[longest]))
        return self.remove(newest)

    def push_front(self, ticket: AdmissionTicket) -> None:
        """Return a preempted request to the head of its workspace's queue."""
        self._insert(ticket)
        tickets = self._tickets_by_workspace[ticket.workspace]
        tickets.move_to_end(ticket.request_id, last=False)

    def pop(
        self, costs_by_workspace: Mapping[WorkspaceName, float] = EMPTY
    ) -> AdmissionTicket:
        """Remove and return the next request.

        Parameters
        ----------
        costs_by_workspace : mapping, optional
            Cost of a request of each workspace, in any unit. The deficits account for
            it, so that long requests of one workspace do not take the slots of others.

        Raises
        ------
        IndexError
            When the queue is empty.
        """
        if not self._n_waiting:
            raise IndexError("pop from an empty queue")
        largest_share = max(self._shares_by_workspace.values())
        known_costs = [
            costs_by_workspace.get(name, 0.0) for name in self._tickets_by_workspace
        ]
        largest_cost = max(known_costs)
        while True:
            workspace, tickets = next(iter(self._tickets_by_workspace.items()))
            cost = costs_by_workspace.get(workspace, 0.0) or largest_cost or 1.0
            relative_cost = cost / (largest_cost or 1.0)
            if self._deficits_by_workspace[workspace] >= relative_cost:
                self._deficits_by_workspace[workspace] -= relative_cost
                ticket = next(iter(tickets.values()))
                self.remove(ticket.request_id)
                return ticket
            quantum = self._shares_by_workspace[workspace] / largest_share
            self._deficits_by_workspace[workspace] += quantum
            self._tickets_by_workspace.move_to_end(workspace)

    def remove(self, request_id: RequestId) -> AdmissionTicket | None:
        """Remove and return a request from any position, None if it is not queued."""
        for workspace, tickets in self._tickets_by_workspace.items():
            ticket = tickets.pop(request_id, None)
            if ticket is None:
                continue
            self._n_waiting -= 1
            if not tickets:
                del self._tickets_by_workspace[workspace]
                del self._shares_by_workspace[workspace]
                del self._deficits_by_workspace[workspace]
            return ticket
        return None

    def tickets(self) -> Iterable[AdmissionTicket]:
        """Return the waiting requests, grouped by workspace."""
        return [
            ticket
            for tickets in self._tickets_by_workspace.values()
            for ticket in tickets.values()
        ]

    def max_turns_until(self, ticket: AdmissionTicket) -> float:
        """Return the maximum number of turns until a new request, its own included."""
        tickets = self._tickets_by_workspace.get(ticket.workspace, ())
        shares = {**self._shares_by_workspace, ticket.workspace: ticket.share}
        fair_turns = (len(tickets) + 1) * sum(shares.values()) / ticket.share
        return min(self._n_waiting + 1, fair_turns)

    def _insert(self, ticket: AdmissionTicket) -> None:
        workspace = ticket.workspace
        tickets = self._tickets_by_workspace.setdefault(workspace, OrderedDict())
        tickets[ticket.request_id] = ticket
        self._shares_by_workspace[workspace] = ticket.share
        self._deficits_by_workspace.setdefault(workspace, 0.0)
        self._n_waiting += 1

    def _waiting_per_share(self, workspace: WorkspaceName) -> float:
        n_waiting = len(self._tickets_by_workspace[workspace])
        return n_waiting / self._shares_by_workspace[workspace]
