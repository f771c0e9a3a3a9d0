"""A fleet of hosts with their jobs, slots and takeovers, on a simulated clock.

The parts of the hosts are the real ones. Links, store and runners are simulated, and
each host has a view of its own.
"""

from __future__ import annotations

import asyncio

from fake_homes import make_host
from fake_store import FakeStore
from simulated_host import DRAIN_S, TABLE, Host, make_table
from simulated_runners import N_EVENTS, SimulatedRunner

from damaskjunction.core import HostState, Outcome, RequestError
from damaskjunction.node import cancel_tasks
from damaskjunction.platform import (
    JOBS_KIND,
    RESULTS_KIND,
    RUNNERS_KIND,
    decode_record,
    decode_result_list,
)

FIRST_VERSION = "v1"


class SimulatedFleet:
    """Hosts by name, with one store and the runners of one service."""

    def __init__(self, host_names, runner_names):
        self.store = FakeStore()
        self.store.on_write = self._tell
        self.entries_by_id = {n: make_host(i, n) for i, n in enumerate(host_names)}
        self.ids_by_address = {h.peer: n for n, h in self.entries_by_id.items()}
        self.runners_by_id = {}
        self.hosts_by_id = {}
        self.table = TABLE
        self.calls = []
        self.heard_by_id = {name: asyncio.Event() for name in host_names}
        self._drains_by_id = {}
        self._unlisted_ids = set()
        self._n_jobs = 0
        for name in host_names:
            self.heard_by_id[name].set()
        for name in runner_names:
            self.runners_by_id[name] = SimulatedRunner(name)
            self.restart_runner(name, FIRST_VERSION)

    def _tell(self, stored):
        for host in self.hosts_by_id.values():
            host.apply(stored)

    # Hosts

    async def start(self, name):
        """Start a host, unless it runs."""
        if name not in self.hosts_by_id:
            self._set_state(name, HostState.LIVE)
            host = self.hosts_by_id[name] = Host(self, name, [*self.hosts_by_id, name])
            await host.start()

    async def kill(self, name):
        """End a host and its connections at once."""
        await cancel_tasks([self._drains_by_id.pop(name)] if self.drains(name) else [])
        await self._end(name)

    async def _end(self, name):
        host = self.hosts_by_id.pop(name, None)
        if host is not None:
            self.reset(name)
            await host.kill()

    def drains(self, name):
        """Return whether a host drains."""
        return name in self._drains_by_id

    def drain(self, name):
        """Let a host that runs begin to drain; it ends after ``DRAIN_S``."""
        host = self.hosts_by_id.get(name)
        if host is None or self.drains(name):
            return
        ending = host.start_draining()
        self._drains_by_id[name] = asyncio.ensure_future(self._drain(name, ending))
        self._set_state(name, HostState.LEAVING)
        for other_id, other in self.hosts_by_id.items():
            if self.heard_by_id[name].is_set() and self.heard_by_id[other_id].is_set():
                other.observe(name)

    async def _drain(self, name, ending):
        try:
            await asyncio.sleep(DRAIN_S)
            await ending
        finally:
            await cancel_tasks([ending])
        del self._drains_by_id[name]
        for other in self.hosts_by_id.values():
            if not other.store.is_cut:
                other.show(other.view.fleet.hosts_by_id.keys() - {name})
        await self._end(name)

    def _set_state(self, name, state):
        self.entries_by_id[name] = self.entries_by_id[name]._replace(state=state)

    def reset(self, name):
        """Break the open calls from and to a host."""
        for call in self.calls:
            if name in call.ends:
                call.replies.put_nowait(RequestError(Outcome.UNKNOWN, "link_lost"))

    def show(self, name, seen):
        """Let a host see these hosts, beside itself."""
        host = self.hosts_by_id.get(name)
        if host is not None:
            host.show(seen)

    def set_store(self, is_away):
        """Let the store be away or back; what waits for it is written then."""
        self.store.is_away = is_away
        if not is_away:
            for name in sorted(self._unlisted_ids):
                self._list_runner(name)
        for host in self.hosts_by_id.values():
            host.learn()

    def configure(self, routes):
        """Put routes in force at all hosts."""
        self.table = make_table(self.table.version + 1, routes)
        for host in self.hosts_by_id.values():
            host.configure(self.table)

    # Runners

    def restart_runner(self, name, version):
        """Start a runner's process again with a version; its entry may come late."""
        self.runners_by_id[name].restart(version)
        self._list_runner(name)

    def _list_runner(self, name):
        if self.store.is_away:
            self._unlisted_ids.add(name)
        else:
            self._unlisted_ids.discard(name)
            self.store.put(RUNNERS_KIND, name, self.runners_by_id[name].to_document())

    # Jobs

    async def submit(self, name):
        """Submit a job to a host; its items are owed if it is accepted."""
        host = self.hosts_by_id.get(name)
        if host is not None:
            self._n_jobs += 1
            await host.submit(f"j{self._n_jobs}")

    def owed_jobs(self):
        """Return the accepted jobs whose items are not all listed."""
        stored = self.store.objects_of(JOBS_KIND)
        return [o.name for o in stored if not (o.status or {}).get("is_done")]

    def check_results(self):
        """Check that each item of the jobs that are done is listed once, and whole."""
        for stored in self.store.objects_of(JOBS_KIND):
            segment = self.store.find(RESULTS_KIND, stored.name)
            results = decode_result_list(segment.content["results"])
            listed = [result.item_id for result in results]
            expected = list(decode_record(stored.name, stored.content).item_ids)
            assert sorted(listed) == expected, (stored.name, listed)
            for result in results:
                assert len(result.text.splitlines()) == N_EVENTS, result
